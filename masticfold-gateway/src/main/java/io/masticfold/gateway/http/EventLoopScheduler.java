package io.masticfold.gateway.http;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on a Netty event loop. */
public final class EventLoopScheduler implements Scheduler {

    private final EventLoop loop;
    private final TimeSource time;

    /** Creates the scheduler of an event loop. */
    public EventLoopScheduler(EventLoop loop, TimeSource time) {
        this.loop = loop;
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
        Future<?> future = loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
