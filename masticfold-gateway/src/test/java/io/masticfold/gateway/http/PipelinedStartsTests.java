package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against pipelined requests that run in one turn of the event loop, or that are never started. */
final class PipelinedStartsTests {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventExecutor loop = group.next();
    private final PipelinedStarts starts = new PipelinedStarts();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void connectionsDoNotTakeTurns() throws InterruptedException {
        List<String> order = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            starts.add(loop, () -> {
                order.add("a1");
                starts.add(loop, () -> {
                    order.add("a2");
                    done.countDown();
                });
            });
            starts.add(loop, () -> order.add("b1"));
        });

        assertThat(done.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(order).containsExactly("a1", "b1", "a2");
    }

    @Test
    void failureOfOneStartEndsTheOthers() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(2);
        loop.execute(() -> {
            starts.add(loop, () -> {
                throw new IllegalStateException("expected by the test");
            });
            starts.add(loop, done::countDown);
            starts.add(loop, done::countDown);
        });

        assertThat(done.await(5, TimeUnit.SECONDS)).isTrue();
    }

    /** Reads are stood in for by a task of a timer, which runs once in each turn. */
    @Test
    void longStartsRunInOneTurn() throws InterruptedException {
        AtomicInteger started = new AtomicInteger();
        AtomicInteger startedAtNextTurn = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(6);
        loop.execute(() -> {
            for (int i = 0; i < 5; i++) {
                starts.add(loop, () -> {
                    if (started.incrementAndGet() == 1) {
                        loop.schedule(
                                () -> {
                                    startedAtNextTurn.set(started.get());
                                    done.countDown();
                                },
                                0,
                                TimeUnit.NANOSECONDS);
                    }
                    useProcessor();
                    done.countDown();
                });
            }
        });

        assertThat(done.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(startedAtNextTurn.get()).isLessThan(5);
    }

    private static void useProcessor() {
        long end = ProcessorTime.ofCurrentThread() + TimeUnit.MILLISECONDS.toNanos(10);
        while (ProcessorTime.ofCurrentThread() < end) {
            Thread.onSpinWait();
        }
    }
}
