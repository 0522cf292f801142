package io.masticfold.gateway.stage;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Holds a piece on its way through one send after the other. Used by one thread. */
final class StageOrder {

    final String pool;
    final PendingPiece piece;

    /** Size of what the piece reads, in bytes, by availability zone. */
    final Map<String, Long> inputBytes;

    /** Availability zone in which the result is expected to be read; null if unknown. */
    final @Nullable String readerZone;

    /** Number of the present send, unique for this gateway. */
    long number;

    String server = "";
    String zone = "";

    /** Peer that owns the server; empty if this gateway does. */
    String owner = "";

    /** Sends that may have reached a server. */
    int sends;

    /** Sends that ended in a queue before they reached a server. */
    int moves;

    long placedNanos;
    boolean cancelled;

    StageOrder(String pool, PendingPiece piece, Map<String, Long> inputBytes, @Nullable String readerZone) {
        this.pool = pool;
        this.piece = piece;
        this.inputBytes = Map.copyOf(inputBytes);
        this.readerZone = readerZone;
    }
}
