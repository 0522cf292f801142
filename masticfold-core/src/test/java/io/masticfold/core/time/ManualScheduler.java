package io.masticfold.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Runs tasks in virtual time that only the test advances. Tasks run in the order of their due time, then of their
 * insertion. This class is not thread-safe.
 */
public final class ManualScheduler implements Scheduler {

    private static final Instant EPOCH = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::order));
    private long nowNanos;
    private long insertions;

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public Instant now() {
        return EPOCH.plusNanos(nowNanos);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task added = new Task(nowNanos + Math.max(0, delay.toNanos()), insertions++, task);
        tasks.add(added);
        return () -> tasks.remove(added);
    }

    /**
     * Advances the time and runs every task that becomes due, including tasks scheduled by those that run.
     *
     * @param step time to advance by; must not be negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        long end = nowNanos + step.toNanos();
        for (Task due = poll(end); due != null; due = poll(end)) {
            nowNanos = Math.max(nowNanos, due.dueNanos());
            due.action().run();
        }
        nowNanos = end;
    }

    /** Runs the tasks that are due now, without advancing the time. */
    public void runDue() {
        advance(Duration.ZERO);
    }

    /**
     * Advances the time without running tasks, which simulates a paused process; the next {@link #advance} runs the
     * tasks that became due.
     *
     * @param length length of the pause; must not be negative
     */
    public void pause(Duration length) {
        if (length.isNegative()) {
            throw new IllegalArgumentException("length must not be negative: " + length);
        }
        nowNanos += length.toNanos();
    }

    /** Returns the number of scheduled tasks that have neither run nor been cancelled. */
    public int pending() {
        return tasks.size();
    }

    private @Nullable Task poll(long end) {
        Task first = tasks.peek();
        return first != null && first.dueNanos() <= end ? tasks.poll() : null;
    }

    private record Task(long dueNanos, long order, Runnable action) {}
}
