package io.masticfold.core.time;

import java.time.Duration;

/**
 * Runs an action at the earliest of the times that were asked for since it last ran. A later time never delays an
 * earlier one. Not thread-safe.
 */
public final class EarliestTimer {

    private final Scheduler scheduler;
    private final Runnable action;
    private Cancellable timer = Cancellable.NONE;
    private boolean armed;
    private long dueNanos;

    /**
     * Creates a timer that is not armed.
     *
     * @param action runs at most once for all times that were asked for before
     */
    public EarliestTimer(Scheduler scheduler, Runnable action) {
        this.scheduler = scheduler;
        this.action = action;
    }

    /** Asks for a run after a delay, unless there will be an earlier one. */
    public void arm(Duration delay) {
        long due = scheduler.nanoTime() + Math.max(0, delay.toNanos());
        if (armed && dueNanos - due <= 0) {
            return;
        }
        timer.cancel();
        armed = true;
        dueNanos = due;
        timer = scheduler.schedule(delay, this::fire);
    }

    private void fire() {
        armed = false;
        timer = Cancellable.NONE;
        action.run();
    }
}
