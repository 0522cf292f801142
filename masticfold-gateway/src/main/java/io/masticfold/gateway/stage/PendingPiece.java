package io.masticfold.gateway.stage;

import io.masticfold.core.time.Deadline;
import java.util.List;

/**
 * Describes a piece that a request needs.
 *
 * @param attemptId id of the caller's attempt
 * @param stage number of the stage
 * @param piece number of the piece within the stage
 * @param key key of a piece that reads no other results
 * @param inputs handles of the results it reads
 * @param bytes approximate size of the result, in bytes
 * @param rank rank of the request; 0 is the most urgent
 * @param startedNanos monotonic time at which the request was read
 * @param dueNanos monotonic time at which the piece must be made for the request to be on time
 * @param deadline time after which the result is of no use
 * @param listener takes the end
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

    QueuedPiece queued(long order, PieceReceiver receiver) {
        return new QueuedPiece(
                order, receiver, attemptId, stage, piece, key, inputs, bytes, rank, startedNanos, dueNanos, deadline);
    }
}
