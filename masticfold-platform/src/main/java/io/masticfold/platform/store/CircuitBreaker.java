package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides whether calls may go to the store. Opens after consecutive failures; while it is open, calls are refused at
 * once and only probes go out. Safe for use by several threads.
 */
final class CircuitBreaker {

    /** A single lost answer is common; three in a row are not. */
    static final int FAILURES_TO_OPEN = 3;

    private static final Duration FIRST_PROBE = Duration.ofMillis(100);
    private static final Duration LONGEST_PROBE = Duration.ofSeconds(2);

    private final TimeSource time;
    private final Backoff backoff;
    private int failures;
    private boolean open;
    private long nextProbeNanos;

    CircuitBreaker(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.backoff = new Backoff(FIRST_PROBE, LONGEST_PROBE, random);
    }

    /** Returns whether calls are refused. */
    synchronized boolean open() {
        return open;
    }

    /** Returns the time until the next probe; zero while closed. */
    synchronized Duration retryAfter() {
        return open ? Duration.ofNanos(Math.max(1, nextProbeNanos - time.nanoTime())) : Duration.ZERO;
    }

    /** Returns the number of consecutive failures. */
    synchronized int failures() {
        return failures;
    }

    /** Notes that the store answered; returns whether that closed the breaker. */
    synchronized boolean succeeded() {
        boolean closes = open;
        failures = 0;
        open = false;
        backoff.reset();
        return closes;
    }

    /** Notes a failed call; returns whether that opened the breaker. */
    synchronized boolean failed() {
        failures++;
        if (open || failures < FAILURES_TO_OPEN) {
            return false;
        }
        open = true;
        planProbe();
        return true;
    }

    /** Plans the next probe and returns the delay until it. */
    synchronized Duration planProbe() {
        Duration delay = backoff.next();
        nextProbeNanos = time.nanoTime() + delay.toNanos();
        return delay;
    }
}
