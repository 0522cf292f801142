package io.masticfold.gateway.http;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.log.GatewayEvent;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Schedules tasks on a Netty event loop. */
public final class EventLoopScheduler implements Scheduler {

    private static final Logger LOGGER = LoggerFactory.getLogger(EventLoopScheduler.class);

    private final EventLoop loop;
    private final TimeSource time;

    /** Creates a scheduler that runs its tasks on an event loop. */
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

    /** Runs a task and logs its failure, which would otherwise be lost in a future that is never read. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.error("MF{} {}", GatewayEvent.TASK_FAILED.number(), GatewayEvent.TASK_FAILED.template(), e);
        }
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Future<?> future = loop.schedule(() -> run(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
