package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that are held back although the event loop has little work with them. */
final class ReadThrottleTests {

    private static final int TURNS = 60;
    private static final Duration TURN = Duration.ofMillis(5);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group, TimeSource.system());
    private final InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private final AtomicLong processorNanos = new AtomicLong();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void serverIsChargedForTurnsInWhichTheLoopWaitsForAProcessor() throws InterruptedException {
        ReadThrottle throttle = new ReadThrottle(client, address, processorNanos::get);
        for (int i = 0; i < TURNS; i++) {
            throttle.bytesReceived();
            Thread.sleep(TURN.toMillis());
            throttle.turnEnded();
        }

        assertThat(client.waitBeforeRead(address)).isZero();
    }

    @Test
    void serverIsNotChargedForLongTurns() {
        ReadThrottle throttle = new ReadThrottle(client, address, processorNanos::get);
        for (int i = 0; i < TURNS; i++) {
            throttle.bytesReceived();
            processorNanos.addAndGet(TURN.toNanos());
            throttle.turnEnded();
        }

        assertThat(client.waitBeforeRead(address)).isPositive();
    }
}
