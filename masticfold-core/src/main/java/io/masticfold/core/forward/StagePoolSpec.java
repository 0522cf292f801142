package io.masticfold.core.forward;

/**
 * Describes the servers of a stage pool. Every value applies to one server.
 *
 * @param slots largest number of calls that run concurrently
 * @param maxQueuedCalls largest number of calls that wait
 * @param maxPiecesPerCall largest number of pieces in one call
 * @param callMillis fixed part of the duration of a call, in milliseconds
 * @param pieceMillis approximate time that each piece adds to a call, in milliseconds
 * @param storageBytes capacity of the result storage, in bytes
 * @param resultLifetimeMillis longest time for which a result is stored, in milliseconds
 */
public record StagePoolSpec(
        int slots,
        int maxQueuedCalls,
        int maxPiecesPerCall,
        double callMillis,
        double pieceMillis,
        long storageBytes,
        long resultLifetimeMillis) {

    /** Validates the ranges. */
    public StagePoolSpec {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        if (maxPiecesPerCall < 1) {
            throw new IllegalArgumentException("batch must be positive: " + maxPiecesPerCall);
        }
        if (storageBytes < 1) {
            throw new IllegalArgumentException("storageBytes must be positive: " + storageBytes);
        }
    }

    /** Returns the expected duration of a call with a number of pieces, in milliseconds. */
    public double expectedCallMillis(int pieces) {
        return callMillis + pieceMillis * pieces;
    }
}
