package io.masticfold.wire;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes the delays between connection attempts: capped exponential backoff with full jitter. */
final class Backoff {

    private static final Duration INITIAL_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_DELAY = Duration.ofSeconds(2);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Counts a failure and returns the delay before the next connection attempt. */
    Duration next() {
        long limit = Math.min(MAX_DELAY.toMillis(), INITIAL_DELAY.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return Duration.ofMillis(1 + random.nextLong(limit));
    }

    void reset() {
        failures = 0;
    }
}
