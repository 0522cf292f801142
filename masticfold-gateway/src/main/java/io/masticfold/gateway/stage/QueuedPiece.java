package io.masticfold.gateway.stage;

import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.protocol.StagePiece;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * Describes a piece that waits in the queue of a stage server.
 *
 * @param order number of the order, unique for its receiver
 * @param receiver takes the outcome
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
 */
record QueuedPiece(
        long order,
        PieceReceiver receiver,
        String attemptId,
        int stage,
        int piece,
        String key,
        List<String> inputs,
        long bytes,
        int rank,
        long startedNanos,
        long dueNanos,
        Deadline deadline) {

    /** Most urgent first, then in order of arrival, the pieces of a request together. */
    private static final Comparator<QueuedPiece> ORDER = Comparator.comparingInt(QueuedPiece::rank)
            .thenComparingLong(QueuedPiece::startedNanos)
            .thenComparing(QueuedPiece::attemptId)
            .thenComparingInt(QueuedPiece::stage)
            .thenComparingInt(QueuedPiece::piece)
            .thenComparingLong(QueuedPiece::order);

    /**
     * Returns the order in which pieces are made. A request that is late earns little whenever it ends, so those that
     * can still be on time go first; otherwise a burst would make every request behind it late, too.
     */
    static Comparator<QueuedPiece> orderAt(long nowNanos) {
        return Comparator.<QueuedPiece, Boolean>comparing(piece -> nowNanos - piece.dueNanos() > 0)
                .thenComparing(ORDER);
    }

    /** Returns the item of a call. */
    StagePiece item(Duration left) {
        return new StagePiece(attemptId, stage, piece, Math.max(1, left.toMillis()), key, inputs);
    }
}
