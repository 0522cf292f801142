package io.masticfold.core.time;

import java.time.Duration;

/** Schedules tasks on an event loop. Implementations never run a task within the scheduling call. */
public interface Scheduler extends TimeSource {

    /**
     * Schedules a task.
     *
     * @param delay delay from now; zero or negative runs the task as soon as possible
     * @param task the task
     * @return a handle that cancels the task
     */
    Cancellable schedule(Duration delay, Runnable task);
}
