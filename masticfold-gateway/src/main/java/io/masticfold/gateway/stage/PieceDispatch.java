package io.masticfold.gateway.stage;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Tracks a piece through its dispatches to stage servers until it completes or fails. Not thread-safe. */
final class PieceDispatch {

    final String pool;
    final PendingPiece piece;

    /** Size of the inputs, in bytes, by availability zone. */
    final Map<String, Long> inputBytes;

    /** Availability zone in which the result is expected to be read; null if unknown. */
    final @Nullable String readerZone;

    /** Number of the current dispatch, unique within this gateway. */
    long id;

    String server = "";
    String zone = "";

    /** Peer that owns the server; empty if this gateway owns it. */
    String owner = "";

    /** Number of dispatches that may have reached a server. */
    int sends;

    /** Number of dispatches that left a queue without reaching a server. */
    int moves;

    long dispatchedNanos;
    boolean cancelled;

    PieceDispatch(String pool, PendingPiece piece, Map<String, Long> inputBytes, @Nullable String readerZone) {
        this.pool = pool;
        this.piece = piece;
        this.inputBytes = Map.copyOf(inputBytes);
        this.readerZone = readerZone;
    }
}
