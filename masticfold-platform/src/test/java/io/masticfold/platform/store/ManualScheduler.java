package io.masticfold.platform.store;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Scheduler with a manual clock; tasks run when a test advances the time. */
final class ManualScheduler implements Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));
    private long nanos;
    private long sequence;

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(nanos + Math.max(0, delay.toNanos()), sequence++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    /** Advances the clock without running tasks, as during a process pause. */
    void freeze(Duration duration) {
        nanos += duration.toNanos();
    }

    void advance(Duration duration) {
        long end = nanos + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
            Task task = tasks.poll();
            nanos = Math.max(nanos, task.dueNanos());
            task.action().run();
        }
        nanos = Math.max(nanos, end);
    }

    private record Task(long dueNanos, long sequence, Runnable action) {}
}
