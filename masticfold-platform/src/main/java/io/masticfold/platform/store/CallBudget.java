package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/**
 * Token bucket that limits the rate of calls, so that one process cannot use more than its share of the store's
 * capacity. Thread-safe.
 */
final class CallBudget {

    private final TimeSource time;
    private final double perNano;
    private final double burst;
    private double tokens;
    private long updatedNanos;

    /**
     * Creates a full token bucket.
     *
     * @param callsPerSecond sustained rate, at which tokens are refilled
     * @param burst capacity of the bucket, in calls
     */
    CallBudget(TimeSource time, double callsPerSecond, int burst) {
        this.time = time;
        this.perNano = callsPerSecond / Duration.ofSeconds(1).toNanos();
        this.burst = burst;
        this.tokens = burst;
        this.updatedNanos = time.nanoTime();
    }

    /** Takes one token and returns zero, or returns the time until a token is available. */
    synchronized Duration take() {
        long now = time.nanoTime();
        tokens = Math.min(burst, tokens + (now - updatedNanos) * perNano);
        updatedNanos = now;
        if (tokens >= 1) {
            tokens--;
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) Math.ceil((1 - tokens) / perNano));
    }
}
