package io.masticfold.agent;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/** Schedules tasks on an event loop, from any thread. */
final class EventloopScheduler implements Scheduler {

    private static final Duration ROUND_UP = Duration.ofNanos(999_999);

    private final Eventloop eventloop;
    private final TimeSource time;

    EventloopScheduler(Eventloop eventloop, TimeSource time) {
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

    /** Rounds the delay up to milliseconds, the resolution of the event loop, so that no task runs early. */
    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        AtomicReference<Runnable> pending = new AtomicReference<>(task);
        AtomicReference<ScheduledRunnable> timer = new AtomicReference<>();
        long millis = Math.max(0, delay.plus(ROUND_UP).toMillis());
        eventloop.execute(() -> {
            if (pending.get() != null) {
                timer.set(eventloop.delayBackground(millis, () -> run(pending)));
            }
        });
        return () -> {
            pending.set(null);
            eventloop.execute(() -> cancel(timer.get()));
        };
    }

    private static void run(AtomicReference<Runnable> pending) {
        Runnable task = pending.getAndSet(null);
        if (task != null) {
            task.run();
        }
    }

    private static void cancel(ScheduledRunnable timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
