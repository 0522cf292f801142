package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/**
 * Token bucket that limits the rate of calls, so that one process cannot use more than its share of the store's
 * capacity. Thread-safe.
 */
final class TokenBucket {

    private final TimeSource time;
    private final double tokensPerNano;
    private final double capacity;
    private double tokens;
    private long updatedNanos;

    /**
     * Creates a full token bucket.
     *
     * @param callsPerSecond sustained rate, at which tokens are refilled
     * @param capacity capacity of the bucket, in calls
     */
    TokenBucket(TimeSource time, double callsPerSecond, int capacity) {
        this.time = time;
        this.tokensPerNano = callsPerSecond / Duration.ofSeconds(1).toNanos();
        this.capacity = capacity;
        this.tokens = capacity;
        this.updatedNanos = time.nanoTime();
    }

    /** Takes one token and returns zero, or returns the time until a token is available. */
    synchronized Duration tryAcquire() {
        long now = time.nanoTime();
        tokens = Math.min(capacity, tokens + (now - updatedNanos) * tokensPerNano);
        updatedNanos = now;
        if (tokens >= 1) {
            tokens--;
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) Math.ceil((1 - tokens) / tokensPerNano));
    }
}
