package io.masticfold.core.time;

import java.time.Duration;

/** Runs tasks later on the owner's event loop. Implementations never run a task inside the scheduling call. */
public interface Scheduler extends TimeSource {

    /**
     * Schedules a task.
     *
     * @param delay time from now; zero or negative means as soon as possible
     * @param task the task
     * @return a handle that cancels the task
     */
    Cancellable schedule(Duration delay, Runnable task);
}
