package io.masticfold.gateway.stage;

import io.masticfold.core.time.Deadline;
import java.util.Comparator;
import java.util.List;

/** Holds a piece that waits for a call or is in one. Used by one thread. */
final class PendingPiece {

    /** Most urgent first, then in order of arrival. */
    static final Comparator<PendingPiece> ORDER = Comparator.<PendingPiece>comparingInt(piece -> piece.rank)
            .thenComparingLong(piece -> piece.startedNanos)
            .thenComparingInt(piece -> piece.piece);

    final String attemptId;
    final int stage;
    final int piece;
    final long bytes;
    final String key;
    final List<String> inputs;
    final int rank;
    final long startedNanos;
    final Deadline deadline;
    final PieceListener listener;
    int sends;
    boolean cancelled;

    /**
     * Creates a piece.
     *
     * @param rank rank of the request; 0 is the most urgent
     * @param startedNanos time at which the request was read, the order among equal ranks
     */
    PendingPiece(
            String attemptId,
            int stage,
            int piece,
            long bytes,
            String key,
            List<String> inputs,
            int rank,
            long startedNanos,
            Deadline deadline,
            PieceListener listener) {
        this.attemptId = attemptId;
        this.stage = stage;
        this.piece = piece;
        this.bytes = bytes;
        this.key = key;
        this.inputs = List.copyOf(inputs);
        this.rank = rank;
        this.startedNanos = startedNanos;
        this.deadline = deadline;
        this.listener = listener;
    }
}
