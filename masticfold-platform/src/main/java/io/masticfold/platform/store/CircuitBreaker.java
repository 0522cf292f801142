package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Circuit breaker for calls to the object API. It opens after consecutive failures; while it is open, calls fail
 * immediately and only probes are sent. Thread-safe.
 */
final class CircuitBreaker {

    /** A single lost response is common; three in a row indicate an outage. */
    static final int FAILURE_THRESHOLD = 3;

    private static final Duration INITIAL_PROBE_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(2);

    private final TimeSource time;
    private final Backoff backoff;
    private int failures;
    private boolean open;
    private long nextProbeNanos;

    CircuitBreaker(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.backoff = new Backoff(INITIAL_PROBE_DELAY, MAX_PROBE_DELAY, random);
    }

    /** Returns whether the breaker is open, that is, whether calls are rejected. */
    synchronized boolean open() {
        return open;
    }

    /** Returns the time until the next probe; zero while the breaker is closed. */
    synchronized Duration retryAfter() {
        return open ? Duration.ofNanos(Math.max(1, nextProbeNanos - time.nanoTime())) : Duration.ZERO;
    }

    /** Returns the number of consecutive failures. */
    synchronized int failures() {
        return failures;
    }

    /** Records a response of the store; returns whether that closed the breaker. */
    synchronized boolean recordSuccess() {
        boolean closes = open;
        failures = 0;
        open = false;
        backoff.reset();
        return closes;
    }

    /** Records a failed call; returns whether that opened the breaker. */
    synchronized boolean recordFailure() {
        failures++;
        if (open || failures < FAILURE_THRESHOLD) {
            return false;
        }
        open = true;
        nextProbeDelay();
        return true;
    }

    /** Sets the time of the next probe and returns the delay until then. */
    synchronized Duration nextProbeDelay() {
        Duration delay = backoff.next();
        nextProbeNanos = time.nanoTime() + delay.toNanos();
        return delay;
    }
}
