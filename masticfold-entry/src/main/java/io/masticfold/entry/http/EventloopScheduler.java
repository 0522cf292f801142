package io.masticfold.entry.http;

import io.activej.eventloop.Eventloop;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Schedules tasks on an ActiveJ event loop; may be called from any thread. */
public final class EventloopScheduler implements Scheduler {

    private final Eventloop eventloop;
    private final TimeSource time;

    /** Creates the scheduler of an event loop. */
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

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        CancellableTask wrapped = new CancellableTask(task);
        if (delay.isZero() || delay.isNegative()) {
            eventloop.execute(wrapped);
        } else if (eventloop.inReactorThread()) {
            eventloop.delayBackground(delay, wrapped);
        } else {
            eventloop.execute(() -> eventloop.delayBackground(delay, wrapped));
        }
        return wrapped;
    }

    private static final class CancellableTask implements Runnable, Cancellable {

        private final AtomicReference<@Nullable Runnable> task;

        CancellableTask(Runnable task) {
            this.task = new AtomicReference<>(task);
        }

        @Override
        public void run() {
            Runnable pending = task.getAndSet(null);
            if (pending != null) {
                pending.run();
            }
        }

        @Override
        public void cancel() {
            task.set(null);
        }
    }
}
