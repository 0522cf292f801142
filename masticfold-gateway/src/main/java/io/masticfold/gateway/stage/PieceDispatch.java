package io.masticfold.gateway.stage;

import java.util.HashMap;
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

    /** Server that is expected to process the piece; after a failure the one that did not. */
    String server = "";

    /** Peer that owns the partition of the pool; empty if this gateway owns it. */
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

    /** Returns the bytes of inputs and results that stay in each availability zone if the piece is processed there. */
    Map<String, Long> zoneBytes() {
        return zoneBytes(inputBytes, readerZone == null ? "" : readerZone, piece.bytes());
    }

    /**
     * Returns the bytes that stay in each availability zone if a piece is processed there.
     *
     * @param inputBytes size of the inputs, in bytes, by availability zone
     * @param readerZone availability zone in which the result will be read; empty if unknown
     * @param resultBytes size of the result, in bytes
     */
    static Map<String, Long> zoneBytes(Map<String, Long> inputBytes, String readerZone, long resultBytes) {
        if (readerZone.isEmpty()) {
            return inputBytes;
        }
        Map<String, Long> bytes = new HashMap<>(inputBytes);
        bytes.merge(readerZone, resultBytes, Long::sum);
        return bytes;
    }
}
