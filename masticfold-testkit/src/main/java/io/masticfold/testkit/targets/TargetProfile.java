package io.masticfold.testkit.targets;

import io.masticfold.core.model.TargetKind;

/**
 * Describes how a target behaves without faults.
 *
 * @param name name of the target
 * @param kind kind of target
 * @param slots runs at once
 * @param queueLimit runs that wait for a slot before further ones are refused
 * @param coldSlots runs, waiting ones included, that the target bears while not warm; more make it collapse
 * @param coldMillis time from the first run to warm, in milliseconds; 0 starts warm
 * @param meanMillis mean service time, in milliseconds
 * @param tokens tokens in a streamed answer
 * @param lagMillis age that a load report may reach, in milliseconds
 * @param checksFencing whether orders with an old fencing number are refused
 * @param seed seed of the service times
 */
public record TargetProfile(
        String name,
        TargetKind kind,
        int slots,
        int queueLimit,
        int coldSlots,
        long coldMillis,
        long meanMillis,
        int tokens,
        long lagMillis,
        boolean checksFencing,
        long seed) {

    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_QUEUE_LIMIT = 64;
    private static final int DEFAULT_COLD_SLOTS = 2;
    private static final int DEFAULT_TOKENS = 20;

    /** Checks the ranges. */
    public TargetProfile {
        if (slots < 1 || coldSlots < 1 || queueLimit < 0 || tokens < 1) {
            throw new IllegalArgumentException("slots, coldSlots and tokens must be at least 1: " + name);
        }
        if (coldMillis < 0 || meanMillis < 0 || lagMillis < 0) {
            throw new IllegalArgumentException("times must not be negative: " + name);
        }
    }

    /** Creates a warm target without service time or lag. */
    public static TargetProfile of(String name, TargetKind kind) {
        return new TargetProfile(
                name, kind, DEFAULT_SLOTS, DEFAULT_QUEUE_LIMIT, DEFAULT_COLD_SLOTS, 0, 0, DEFAULT_TOKENS, 0, true, 1);
    }

    /** Returns the profile with another number of slots and another queue limit. */
    public TargetProfile withSlots(int newSlots, int newQueueLimit) {
        return new TargetProfile(
                name,
                kind,
                newSlots,
                newQueueLimit,
                coldSlots,
                coldMillis,
                meanMillis,
                tokens,
                lagMillis,
                checksFencing,
                seed);
    }

    /** Returns the profile with another cold start. */
    public TargetProfile withCold(int newColdSlots, long newColdMillis) {
        return new TargetProfile(
                name,
                kind,
                slots,
                queueLimit,
                newColdSlots,
                newColdMillis,
                meanMillis,
                tokens,
                lagMillis,
                checksFencing,
                seed);
    }

    /** Returns the profile with other service times. */
    public TargetProfile withService(long newMeanMillis, int newTokens, long newSeed) {
        return new TargetProfile(
                name,
                kind,
                slots,
                queueLimit,
                coldSlots,
                coldMillis,
                newMeanMillis,
                newTokens,
                lagMillis,
                checksFencing,
                newSeed);
    }

    /** Returns the profile with another lag of the load report and another treatment of fencing numbers. */
    public TargetProfile withReports(long newLagMillis, boolean newChecksFencing) {
        return new TargetProfile(
                name,
                kind,
                slots,
                queueLimit,
                coldSlots,
                coldMillis,
                meanMillis,
                tokens,
                newLagMillis,
                newChecksFencing,
                seed);
    }
}
