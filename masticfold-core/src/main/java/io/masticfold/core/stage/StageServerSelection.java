package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the server that is expected to process the pieces of a stage. A server runs one call at a time, and a call
 * has a high fixed cost however few pieces it carries. The pieces of all gateways are therefore batched in one queue
 * per partition of a pool, held by the gateway that owns it; that gateway decides by {@link StageCallPlan}. The choice
 * weighs the backlogs of the servers against moving results between availability zones.
 */
public final class StageServerSelection {

    /** Cost of reading a megabyte of results from another availability zone, in milliseconds of equivalent backlog. */
    static final double CROSS_ZONE_MILLIS_PER_MEGABYTE = 150;

    /** Largest fraction of its spare time that a request waits to keep its results in one availability zone. */
    static final double MAX_SPARE_FRACTION = 0.5;

    /** Lowest cost of moving results between availability zones, in milliseconds; breaks ties. */
    static final double MIN_CROSS_ZONE_MILLIS = 5;

    /** Cost of a server without storage for the results, in milliseconds: about the time until results are read. */
    static final double STORAGE_FULL_MILLIS = 250;

    /** Cost of a server with recent failures, in milliseconds; higher than any backlog worth waiting for. */
    static final double RECENT_FAILURE_MILLIS = 3_000;

    /** Divisor of a server's storage: the pieces of one request may occupy at most this part of it. */
    static final int STORAGE_DIVISOR = 2;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    private StageServerSelection() {}

    /**
     * Chooses a server.
     *
     * @param servers usable servers of the pool
     * @param bytes size of all results, in bytes
     * @param zoneBytes for each availability zone, the bytes that stay there if a server of that zone is chosen: the
     *     inputs of the pieces, and the results that are read there later
     * @param spareMillis time that the request can wait and still meet its objective, in milliseconds; may be negative
     */
    public static Optional<StageServerView> choose(
            List<StageServerView> servers, long bytes, Map<String, Long> zoneBytes, double spareMillis) {
        StageServerView best = null;
        double lowestCost = Double.MAX_VALUE;
        for (StageServerView server : servers) {
            double cost = cost(server, bytes, zoneBytes, spareMillis);
            if (best == null || cost < lowestCost) {
                best = server;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double cost(StageServerView server, long bytes, Map<String, Long> zoneBytes, double spareMillis) {
        return server.backlogMillis()
                + placementMillis(server.zone(), server.freeBytes(), bytes, zoneBytes, spareMillis)
                + (server.recentlyFailed() ? RECENT_FAILURE_MILLIS : 0);
    }

    /** Returns the cost of moving results to a server and of waiting for its storage, in milliseconds. */
    static double placementMillis(
            String zone, long freeBytes, long bytes, Map<String, Long> zoneBytes, double spareMillis) {
        long totalBytes = 0;
        for (long inZone : zoneBytes.values()) {
            totalBytes += inZone;
        }
        long movedBytes = totalBytes - zoneBytes.getOrDefault(zone, 0L);
        return (movedBytes > 0 ? moveMillis(movedBytes, spareMillis) : 0)
                + (freeBytes < bytes ? STORAGE_FULL_MILLIS : 0);
    }

    private static double moveMillis(long bytes, double spareMillis) {
        double millis = bytes / BYTES_PER_MEGABYTE * CROSS_ZONE_MILLIS_PER_MEGABYTE;
        return Math.max(MIN_CROSS_ZONE_MILLIS, Math.min(millis, spareMillis * MAX_SPARE_FRACTION));
    }

    /**
     * Returns the largest number of pieces of one request that are sent to the same server.
     *
     * @param pieceBytes size of one result, in bytes
     */
    public static int maxPiecesPerServer(StagePoolSpec spec, long pieceBytes) {
        long fitting = pieceBytes == 0 ? spec.maxPiecesPerCall() : spec.storageBytes() / STORAGE_DIVISOR / pieceBytes;
        return (int) Math.max(1, Math.min(spec.maxPiecesPerCall(), fitting));
    }
}
