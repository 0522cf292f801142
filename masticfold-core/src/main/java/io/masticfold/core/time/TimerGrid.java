package io.masticfold.core.time;

import java.time.Duration;

/**
 * Aligns periodic tasks of one thread, so that those with the same interval run in one wake-up of the thread. Load: a
 * gateway without requests, whose independent timers caused most of its wake-ups.
 */
public final class TimerGrid {

    private TimerGrid() {}

    /**
     * Returns the delay until a periodic task runs again, which is at a multiple of its interval. It is
     * more than half and at most one and a half times the interval; a task that runs on time gets the interval.
     *
     * @param time clock of the scheduler
     * @param interval positive
     */
    public static Duration delay(TimeSource time, Duration interval) {
        long length = interval.toNanos();
        if (length <= 0) {
            throw new IllegalArgumentException("interval must be positive: " + interval);
        }
        long now = time.nanoTime();
        long next = (Math.floorDiv(now + length / 2, length) + 1) * length;
        return Duration.ofNanos(next - now);
    }
}
