package io.masticfold.platform.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes exponential backoff delays with jitter. Not thread-safe. */
final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final Duration initialDelay;
    private final Duration maxDelay;
    private final RandomGenerator random;
    private int failures;

    Backoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
    }

    /** Returns the next delay: the doubled value less a jitter of up to half, which spreads out retries. */
    Duration next() {
        long ceiling = Math.min(maxDelay.toMillis(), initialDelay.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return Duration.ofMillis(ceiling / 2 + random.nextLong(ceiling / 2 + 1));
    }

    /** Resets the delay to its initial value after a success. */
    void reset() {
        failures = 0;
    }
}
