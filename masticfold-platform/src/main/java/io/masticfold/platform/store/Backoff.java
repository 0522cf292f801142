package io.masticfold.platform.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes exponential backoff delays with jitter. Not thread-safe. */
final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;
    private int failures;

    Backoff(Duration first, Duration longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** Returns the next delay: the doubled value less a jitter of up to half, which spreads out retries. */
    Duration next() {
        long ceiling = Math.min(longest.toMillis(), first.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return Duration.ofMillis(ceiling / 2 + random.nextLong(ceiling / 2 + 1));
    }

    /** Resets the delay to its initial value after a success. */
    void reset() {
        failures = 0;
    }
}
