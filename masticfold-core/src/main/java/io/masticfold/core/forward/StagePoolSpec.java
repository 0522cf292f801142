package io.masticfold.core.forward;

/**
 * Describes the members of a stage pool. Every value applies to one member.
 *
 * @param slots calls that run at the same time
 * @param queue calls that may wait
 * @param batch most pieces in one call
 * @param callMillis fixed duration of a call, in milliseconds
 * @param pieceMillis approximate time that each piece adds to a call, in milliseconds
 * @param roomBytes bytes of results that a member can keep
 * @param keepMillis time for which a result is kept at most, in milliseconds
 */
public record StagePoolSpec(
        int slots, int queue, int batch, double callMillis, double pieceMillis, long roomBytes, long keepMillis) {

    /** Checks the ranges. */
    public StagePoolSpec {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        if (batch < 1) {
            throw new IllegalArgumentException("batch must be positive: " + batch);
        }
        if (roomBytes < 1) {
            throw new IllegalArgumentException("roomBytes must be positive: " + roomBytes);
        }
    }

    /** Returns the approximate duration of a call, in milliseconds. */
    public double expectedMillis(int pieces) {
        return callMillis + pieceMillis * pieces;
    }
}
