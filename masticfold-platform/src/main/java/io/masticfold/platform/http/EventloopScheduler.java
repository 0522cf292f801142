package io.masticfold.platform.http;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Scheduler that runs tasks on an ActiveJ event loop. Thread-safe. */
public final class EventloopScheduler implements Scheduler {

    private static final Duration ROUND_UP = Duration.ofNanos(999_999);

    private final Eventloop eventloop;
    private final TimeSource time;

    /** Creates a scheduler for an event loop. */
    public EventloopScheduler(Eventloop eventloop, TimeSource time) {
        this.eventloop = eventloop;
        this.time = time;
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }

    @Override
    public Instant now() {
        return time.now();
    }

    /** Rounds the delay up to whole milliseconds, the resolution of the event loop, so that no task runs early. */
    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task scheduled = new Task(task);
        long millis = delay.plus(ROUND_UP).toMillis();
        if (delay.isNegative() || millis == 0) {
            eventloop.execute(scheduled);
        } else {
            eventloop.execute(() -> scheduled.startTimer(eventloop, millis));
        }
        return () -> scheduled.cancel(eventloop);
    }

    private static final class Task implements Runnable {

        private final AtomicReference<@Nullable Runnable> pending;

        /** Accessed on the event loop only. */
        private @Nullable ScheduledRunnable timer;

        Task(Runnable task) {
            this.pending = new AtomicReference<>(task);
        }

        /** Starts a background timer, which does not keep the event loop alive at shutdown. */
        void startTimer(Eventloop eventloop, long millis) {
            if (pending.get() != null) {
                timer = eventloop.delayBackground(millis, this);
            }
        }

        @Override
        public void run() {
            Runnable task = pending.getAndSet(null);
            if (task != null) {
                task.run();
            }
        }

        /** Also cancels the timer, so that a cancelled task does not stay in memory until it is due. */
        void cancel(Eventloop eventloop) {
            if (pending.getAndSet(null) != null) {
                eventloop.execute(this::releaseTimer);
            }
        }

        private void releaseTimer() {
            if (timer != null) {
                timer.cancel();
            }
        }
    }
}
