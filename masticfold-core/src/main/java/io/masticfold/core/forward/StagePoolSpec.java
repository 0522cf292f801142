package io.masticfold.core.forward;

/**
 * Describes the servers of a stage pool. Every value applies to one server.
 *
 * @param slots largest number of calls that run concurrently
 * @param queue largest number of calls that wait
 * @param batch largest number of pieces in one call
 * @param callMillis fixed part of the duration of a call, in milliseconds
 * @param pieceMillis approximate time that each piece adds to a call, in milliseconds
 * @param roomBytes capacity of the result storage, in bytes
 * @param keepMillis longest time for which a result is stored, in milliseconds
 */
public record StagePoolSpec(
        int slots, int queue, int batch, double callMillis, double pieceMillis, long roomBytes, long keepMillis) {

    /** Validates the ranges. */
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

    /** Returns the expected duration of a call with a number of pieces, in milliseconds. */
    public double expectedMillis(int pieces) {
        return callMillis + pieceMillis * pieces;
    }
}
