package io.masticfold.core.stage;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Describes waiting pieces of one request that should be sent to a stage server in one call.
 *
 * @param pieces number of pieces
 * @param bytes size of their results, in bytes
 * @param zoneBytes for each availability zone, the bytes that stay there if a server of that zone is chosen
 * @param spareMillis time that the pieces can wait without delaying their request past its latency objective, in
 *     milliseconds; may be negative
 * @param server id of the only server that may process the pieces; null if every server may
 */
public record PieceGroup(
        int pieces, long bytes, Map<String, Long> zoneBytes, double spareMillis, @Nullable String server) {

    /** Copies the map and validates the number of pieces. */
    public PieceGroup {
        zoneBytes = Map.copyOf(zoneBytes);
        if (pieces < 1) {
            throw new IllegalArgumentException("pieces must be positive: " + pieces);
        }
    }
}
