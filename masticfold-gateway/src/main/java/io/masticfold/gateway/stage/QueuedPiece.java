package io.masticfold.gateway.stage;

import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.protocol.StagePiece;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Describes a piece in the queue of a stage server.
 *
 * @param dispatchId number of the dispatch, unique per listener
 * @param listener receives the progress and the outcome
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
 * @param zoneBytes for each availability zone, the bytes of inputs and results that stay there if a server of that zone
 *     processes the piece
 * @param server id of the only server that may process the piece; null if every server of the pool may
 */
record QueuedPiece(
        long dispatchId,
        DispatchListener listener,
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
        Map<String, Long> zoneBytes,
        @Nullable String server) {

    /** Copies the map. */
    QueuedPiece {
        zoneBytes = Map.copyOf(zoneBytes);
    }

    /** Sorts by urgency, then by arrival; keeps the pieces of a request together. */
    private static final Comparator<QueuedPiece> BY_URGENCY = Comparator.comparingInt(QueuedPiece::rank)
            .thenComparingLong(QueuedPiece::startedNanos)
            .thenComparing(QueuedPiece::attemptId)
            .thenComparingInt(QueuedPiece::stage)
            .thenComparingInt(QueuedPiece::piece)
            .thenComparingLong(QueuedPiece::dispatchId);

    /**
     * Returns the processing order. Pieces that can still meet the latency target of their request come first, since
     * the value of a late request hardly depends on when it ends. Otherwise a burst would also delay every request
     * behind it past its target.
     */
    static Comparator<QueuedPiece> processingOrder(long nowNanos) {
        return Comparator.<QueuedPiece, Boolean>comparing(piece -> nowNanos - piece.dueNanos() > 0)
                .thenComparing(BY_URGENCY);
    }

    /** Returns whether another piece belongs to the same stage of the same request. */
    boolean sameStage(QueuedPiece other) {
        return stage == other.stage
                && listener == other.listener
                && attemptId.equals(other.attemptId)
                && Objects.equals(server, other.server);
    }

    /**
     * Returns the representation of the piece in a call.
     *
     * @param left time left until the deadline
     */
    StagePiece toStagePiece(Duration left) {
        return new StagePiece(attemptId, stage, piece, Math.max(1, left.toMillis()), key, inputs);
    }
}
