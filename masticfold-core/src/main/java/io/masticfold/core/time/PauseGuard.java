package io.masticfold.core.time;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Holds decisions back after the process was paused, until what they are based on has been read again. A decision asks
 * before it acts, since work that arrived during the pause may come before any timer. Not thread-safe.
 */
public final class PauseGuard {

    private final Scheduler scheduler;
    private final Duration maxGap;
    private final List<Runnable> held = new ArrayList<>();
    private @Nullable PauseListener listener;
    private long lastNanos;
    private long lastWallMillis;
    private boolean confirmed = true;

    /**
     * Creates a guard that passes everything until it is started.
     *
     * @param scheduler clocks, and the thread on which held work continues
     * @param maxGap longest time between two observations that is not a pause; positive
     */
    public PauseGuard(Scheduler scheduler, Duration maxGap) {
        if (maxGap.isNegative() || maxGap.isZero()) {
            throw new IllegalArgumentException("maxGap must be positive: " + maxGap);
        }
        this.scheduler = scheduler;
        this.maxGap = maxGap;
    }

    /**
     * Starts to detect pauses. From now on {@link #passes} must be called more often than once in the longest gap.
     *
     * @param onPause told of each pause; must lead to a call of {@link #confirm}
     */
    public void start(PauseListener onPause) {
        listener = onPause;
        lastNanos = scheduler.nanoTime();
        lastWallMillis = scheduler.now().toEpochMilli();
    }

    /** Returns whether decisions may be made: the process was not paused since the last confirmation. */
    public boolean passes() {
        PauseListener active = listener;
        if (active != null) {
            Duration gap = gap();
            if (gap.compareTo(maxGap) > 0) {
                confirmed = false;
                active.paused(gap);
            }
        }
        return confirmed;
    }

    /** Runs a task now, or as soon as its basis is confirmed. */
    public void run(Runnable task) {
        if (passes()) {
            task.run();
        } else {
            held.add(task);
        }
    }

    /** Continues the held work, in the order of its arrival, unless the process was paused once more meanwhile. */
    public void confirm() {
        confirmed = true;
        if (!passes()) {
            return;
        }
        held.forEach(task -> scheduler.schedule(Duration.ZERO, () -> run(task)));
        held.clear();
    }

    /**
     * Returns the time since the last observation. While a machine is suspended the monotonic clock may stand still and
     * only the time of day goes on; a clock that was set forward looks the same.
     */
    private Duration gap() {
        long nanos = scheduler.nanoTime();
        long wallMillis = scheduler.now().toEpochMilli();
        Duration monotonic = Duration.ofNanos(nanos - lastNanos);
        Duration wall = Duration.ofMillis(wallMillis - lastWallMillis);
        lastNanos = nanos;
        lastWallMillis = wallMillis;
        boolean suspended = wall.minus(monotonic).compareTo(maxGap) > 0;
        return suspended ? wall : monotonic;
    }

    /** Receives the pauses of the process. */
    public interface PauseListener {

        /**
         * Called when the process has been paused.
         *
         * @param length time for which it was not observed to run
         */
        void paused(Duration length);
    }
}
