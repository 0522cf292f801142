package io.masticfold.platform.http;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/** Schedules tasks on an event loop from any thread. */
final class EventloopScheduler implements Scheduler {

    private final Eventloop eventloop;
    private final TimeSource time = TimeSource.system();

    EventloopScheduler(Eventloop eventloop) {
        this.eventloop = eventloop;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task scheduled = new Task(task);
        eventloop.execute(() -> scheduled.scheduleOn(eventloop, delay));
        return () -> scheduled.cancel(eventloop);
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }

    @Override
    public Instant now() {
        return time.now();
    }

    private static final class Task {

        private final Runnable task;
        private final AtomicBoolean cancelled = new AtomicBoolean();
        private @Nullable ScheduledRunnable handle;

        Task(Runnable task) {
            this.task = task;
        }

        void scheduleOn(Eventloop eventloop, Duration delay) {
            long millis = Math.max(0, delay.toMillis());
            // Background tasks do not keep the event loop alive at shutdown.
            handle = eventloop.delayBackground(millis, this::run);
        }

        private void run() {
            if (!cancelled.get()) {
                task.run();
            }
        }

        void cancel(Eventloop loop) {
            cancelled.set(true);
            loop.execute(this::release);
        }

        private void release() {
            if (handle != null) {
                handle.cancel();
            }
        }
    }
}
