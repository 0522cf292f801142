package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the server that makes the pieces of a stage. A server runs one call at a time, and a call lasts long however
 * few pieces it carries; pieces of all gateways therefore meet in one queue for each server, kept by the gateway that
 * owns it. The choice balances the backlogs of the queues against moving results between availability zones.
 */
public final class StageRouting {

    /** Cost of a megabyte of results that is read in another availability zone, in milliseconds of waiting. */
    static final double OTHER_ZONE_MILLIS_PER_MEGABYTE = 150;

    /** Part of the time to spare that a request may wait to keep its results in one availability zone. */
    static final double SPARE_PART = 0.5;

    /** Least cost of another availability zone, in milliseconds; decides between equals. */
    static final double LEAST_OTHER_ZONE_MILLIS = 5;

    /** Cost of a server without room for the results, in milliseconds: about the time after which results are read. */
    static final double NO_ROOM_MILLIS = 250;

    /** Cost of a server that failed a moment ago, in milliseconds; above every backlog worth waiting for. */
    static final double FAILING_MILLIS = 3_000;

    /** Pieces of one request go to one server until they take this part of its room. */
    static final int ROOM_PARTS = 2;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    private StageRouting() {}

    /**
     * Chooses a server.
     *
     * @param servers usable servers of the pool
     * @param bytes size of all results, in bytes
     * @param zoneBytes bytes that are not moved if the server is in an availability zone: what the pieces read there,
     *     and what will be read there
     * @param spareMillis time that the request can wait and still be on time, in milliseconds; may be negative
     */
    public static Optional<StageServerView> choose(
            List<StageServerView> servers, long bytes, Map<String, Long> zoneBytes, double spareMillis) {
        StageServerView best = null;
        double lowest = Double.MAX_VALUE;
        for (StageServerView server : servers) {
            double cost = cost(server, bytes, zoneBytes, spareMillis);
            if (best == null || cost < lowest) {
                best = server;
                lowest = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double cost(StageServerView server, long bytes, Map<String, Long> zoneBytes, double spareMillis) {
        long all = zoneBytes.values().stream().mapToLong(Long::longValue).sum();
        long moved = all - zoneBytes.getOrDefault(server.zone(), 0L);
        return server.backlogMillis()
                + (moved > 0 ? moveMillis(moved, spareMillis) : 0)
                + (server.roomBytes() < bytes ? NO_ROOM_MILLIS : 0)
                + (server.failing() ? FAILING_MILLIS : 0);
    }

    private static double moveMillis(long bytes, double spareMillis) {
        double millis = bytes / BYTES_PER_MEGABYTE * OTHER_ZONE_MILLIS_PER_MEGABYTE;
        return Math.max(LEAST_OTHER_ZONE_MILLIS, Math.min(millis, spareMillis * SPARE_PART));
    }

    /**
     * Returns the number of pieces of one request that are sent to the same server.
     *
     * @param pieceBytes size of one result, in bytes
     */
    public static int piecesTogether(StagePoolSpec spec, long pieceBytes) {
        long byRoom = pieceBytes == 0 ? spec.batch() : spec.roomBytes() / ROOM_PARTS / pieceBytes;
        return (int) Math.max(1, Math.min(spec.batch(), byRoom));
    }
}
