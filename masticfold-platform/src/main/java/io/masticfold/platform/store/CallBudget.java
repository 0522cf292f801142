package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/**
 * Limits the rate of calls, so that one process cannot use more than its share of the store's rates. Safe for use by
 * several threads.
 */
final class CallBudget {

    private final TimeSource time;
    private final double perNano;
    private final double burst;
    private double tokens;
    private long updatedNanos;

    /**
     * Creates a full budget.
     *
     * @param callsPerSecond sustained rate
     * @param burst calls that may go out at once
     */
    CallBudget(TimeSource time, double callsPerSecond, int burst) {
        this.time = time;
        this.perNano = callsPerSecond / Duration.ofSeconds(1).toNanos();
        this.burst = burst;
        this.tokens = burst;
        this.updatedNanos = time.nanoTime();
    }

    /** Takes one call from the budget; returns zero if granted, else the time until one is available. */
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
