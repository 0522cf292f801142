package io.masticfold.gateway.stage;

import io.masticfold.core.time.Deadline;
import java.util.List;
import java.util.Map;

/**
 * Describes one piece of a stage that a request needs to be processed.
 *
 * @param attemptId id of the caller's attempt
 * @param stage number of the stage
 * @param piece number of the piece within the stage
 * @param key input key of a piece that reads no other results; empty otherwise
 * @param inputs handles of the results that the piece reads
 * @param bytes approximate size of the result, in bytes
 * @param rank rank of the request; 0 is the most urgent
 * @param startedNanos monotonic time at which the request was received
 * @param dueNanos monotonic time by which the piece must be complete for the request to meet its latency target
 * @param deadline time after which the result is not needed
 * @param listener receives the progress and the outcome
 */
record PendingPiece(
        String attemptId,
        int stage,
        int piece,
        String key,
        List<String> inputs,
        long bytes,
        int rank,
        long startedNanos,
        long dueNanos,
        Deadline deadline,
        PieceListener listener) {

    QueuedPiece toQueued(long dispatchId, DispatchListener dispatchListener, Map<String, Long> zoneBytes) {
        return new QueuedPiece(
                dispatchId,
                dispatchListener,
                attemptId,
                stage,
                piece,
                key,
                inputs,
                bytes,
                rank,
                startedNanos,
                dueNanos,
                deadline,
                zoneBytes,
                null);
    }
}
