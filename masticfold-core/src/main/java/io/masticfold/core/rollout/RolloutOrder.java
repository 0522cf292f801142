package io.masticfold.core.rollout;

import java.time.Duration;

/**
 * An order to move a pool to a software version.
 *
 * @param pool name of the pool
 * @param version software version to move to
 * @param duration time within which the order has to end
 * @param state stored state
 * @param revision revision of the stored object
 */
public record RolloutOrder(String pool, String version, Duration duration, RolloutState state, long revision) {

    /** Longest duration of an order; a longer one is taken for this, so that it fits into a clock of nanoseconds. */
    private static final Duration MAX_DURATION = Duration.ofDays(30);

    /** Limits the duration; one of zero or less ends the order as soon as it is seen. */
    public RolloutOrder {
        if (pool.isEmpty() || version.isEmpty()) {
            throw new IllegalArgumentException("pool and version must not be empty: " + pool + ", " + version);
        }
        if (duration.isNegative()) {
            duration = Duration.ZERO;
        } else if (duration.compareTo(MAX_DURATION) > 0) {
            duration = MAX_DURATION;
        }
    }

    /** Returns whether another order asks for the same. */
    public boolean sameAs(RolloutOrder other) {
        return pool.equals(other.pool) && version.equals(other.version) && duration.equals(other.duration);
    }
}
