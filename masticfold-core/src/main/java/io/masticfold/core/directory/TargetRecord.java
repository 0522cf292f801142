package io.masticfold.core.directory;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The entry of one incarnation of a target in the service directory.
 *
 * @param id id of the target, unique among live targets
 * @param pool name of the pool of the target
 * @param address resolved address
 * @param zone availability zone
 * @param draining whether the target is draining and accepts no new requests
 * @param coldRemainingMillis time until the target is warm, counted from the report, in milliseconds
 * @param slots largest number of requests that run concurrently
 * @param softwareVersion version of its software; targets of several versions may serve in one pool
 * @param startMillis start time of the incarnation, in milliseconds since the epoch; 0 if unknown
 */
public record TargetRecord(
        String id,
        String pool,
        InetSocketAddress address,
        String zone,
        boolean draining,
        long coldRemainingMillis,
        int slots,
        String softwareVersion,
        long startMillis) {

    /** Longest time until a target is warm, in milliseconds, so that it fits into a clock of nanoseconds. */
    private static final long MAX_COLD_MILLIS =
            Duration.ofNanos(Long.MAX_VALUE / 2).toMillis();

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the id is empty, or a number is negative or too large
     */
    public TargetRecord {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id must not be empty");
        }
        if (coldRemainingMillis < 0 || coldRemainingMillis > MAX_COLD_MILLIS) {
            throw new IllegalArgumentException("coldRemainingMillis of target " + id + " must be 0 to "
                    + MAX_COLD_MILLIS + ": " + coldRemainingMillis);
        }
        if (slots < 0) {
            throw new IllegalArgumentException("slots of target " + id + " must not be negative: " + slots);
        }
    }

    /** Returns the id together with the start time, which no other incarnation has. */
    public String incarnation() {
        return id + "@" + startMillis;
    }

    /** Returns whether another record describes the same incarnation. */
    public boolean sameIncarnation(TargetRecord other) {
        return id.equals(other.id) && startMillis == other.startMillis && address.equals(other.address);
    }

    /** Returns this record with the state draining. */
    TargetRecord asDraining() {
        return new TargetRecord(
                id, pool, address, zone, true, coldRemainingMillis, slots, softwareVersion, startMillis);
    }
}
