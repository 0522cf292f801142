package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against peers that are held back although the event loop has little work with them, or for good. */
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
        ReadThrottle throttle = new ReadThrottle(client.readShares(), address, false, processorNanos::get);
        for (int i = 0; i < TURNS; i++) {
            throttle.bytesReceived();
            Thread.sleep(TURN.toMillis());
            throttle.turnEnded();
        }

        assertThat(client.readShares().waitBeforeRead(address)).isZero();
    }

    @Test
    void serverIsNotChargedForLongTurns() {
        ReadThrottle throttle = new ReadThrottle(client.readShares(), address, false, processorNanos::get);
        for (int i = 0; i < TURNS; i++) {
            throttle.bytesReceived();
            processorNanos.addAndGet(TURN.toNanos());
            throttle.turnEnded();
        }

        assertThat(client.readShares().waitBeforeRead(address)).isPositive();
    }

    /** Callers behind one proxy share the account; only the connection with long turns waits. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void connectionWithShortTurnsWaitsForAnotherOne(boolean shortTurnsPass, boolean readOn) {
        Object caller = InetAddress.getLoopbackAddress();
        EmbeddedChannel floodingChannel = new EmbeddedChannel();
        EmbeddedChannel soundChannel = new EmbeddedChannel();
        ReadThrottle flooding = new ReadThrottle(client.readShares(), caller, shortTurnsPass, processorNanos::get);
        ReadThrottle sound = new ReadThrottle(client.readShares(), caller, shortTurnsPass, processorNanos::get);
        flooding.opened(floodingChannel);
        sound.opened(soundChannel);
        for (int i = 0; i < TURNS; i++) {
            turn(flooding, TURN);
        }
        turn(sound, Duration.ofNanos(1000));

        assertThat(floodingChannel.config().isAutoRead()).isFalse();
        assertThat(soundChannel.config().isAutoRead()).isEqualTo(readOn);
        assertThat(client.readShares().heldBackCallers()).isEqualTo(1);
        assertThat(client.readShares().heldBackServers()).isZero();
    }

    /** A processor clock that jumps, forward or back, must not stop the reads for good. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE / 2, -Long.MAX_VALUE / 2})
    void wrongTurnLengthsStopTheReadsForGood(long jumpNanos) throws InterruptedException {
        EmbeddedChannel channel = new EmbeddedChannel();
        ReadThrottle throttle =
                new ReadThrottle(client.readShares(), InetAddress.getLoopbackAddress(), true, processorNanos::get);
        throttle.opened(channel);
        for (int i = 0; i < TURNS; i++) {
            throttle.bytesReceived();
            processorNanos.set(i % 2 == 0 ? jumpNanos : 0);
            throttle.turnEnded();
        }
        long end = System.nanoTime() + Duration.ofSeconds(2).toNanos();
        while (!channel.config().isAutoRead() && System.nanoTime() < end) {
            Thread.sleep(10);
            channel.runScheduledPendingTasks();
        }

        assertThat(channel.config().isAutoRead()).isTrue();
    }

    private void turn(ReadThrottle throttle, Duration length) {
        throttle.bytesReceived();
        processorNanos.addAndGet(length.toNanos());
        throttle.turnEnded();
    }
}
