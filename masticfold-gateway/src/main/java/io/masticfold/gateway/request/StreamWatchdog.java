package io.masticfold.gateway.request;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;

/**
 * Ends a stream whose target sends no event for longer than callers wait for one. Bytes alone are no progress: a target
 * in trouble may send one now and then without end. Used by one thread.
 */
final class StreamWatchdog {

    /** Time in addition to the callers' patience, so that a caller that still waits is not cut off. */
    static final Duration MARGIN = Duration.ofMillis(250);

    private final Scheduler scheduler;
    private final Duration limit;
    private final Runnable onStall;
    private Cancellable timer = Cancellable.NONE;
    private long lastProgressNanos;

    /**
     * Creates a watchdog.
     *
     * @param patience longest time that a caller waits for an event
     * @param onStall called when no event has arrived for that time
     */
    StreamWatchdog(Scheduler scheduler, Duration patience, Runnable onStall) {
        this.scheduler = scheduler;
        this.limit = patience.plus(MARGIN);
        this.onStall = onStall;
    }

    /** Starts to wait for an event of a new send. */
    void start() {
        timer.cancel();
        lastProgressNanos = scheduler.nanoTime();
        schedule(limit);
    }

    /** Records that an event has arrived. */
    void progressed() {
        lastProgressNanos = scheduler.nanoTime();
    }

    void stop() {
        timer.cancel();
        timer = Cancellable.NONE;
    }

    private void schedule(Duration delay) {
        timer = scheduler.schedule(delay, this::check);
    }

    private void check() {
        Duration left = limit.minusNanos(scheduler.nanoTime() - lastProgressNanos);
        if (left.isNegative() || left.isZero()) {
            onStall.run();
        } else {
            schedule(left);
        }
    }
}
