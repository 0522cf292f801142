package io.masticfold.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against output that piles up for a peer that has vanished, and against closing one that is only slow. */
final class OutputProgressTests {

    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final OutputProgress progress = new OutputProgress(TIMEOUT);

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private ChannelOutboundBuffer buffer() {
        return channel.unsafe().outboundBuffer();
    }

    private void add(int bytes) {
        buffer().addMessage(Unpooled.wrappedBuffer(new byte[bytes]), bytes, channel.newPromise());
        buffer().addFlush();
    }

    private boolean stuckAt(long millis) {
        return progress.stuck(buffer(), Duration.ofMillis(millis).toNanos());
    }

    @Test
    void outputThatNobodyTakesIsStuckAfterTheTimeout() {
        add(10);
        assertThat(stuckAt(0)).isFalse();
        add(10);
        assertThat(stuckAt(599)).isFalse();
        assertThat(stuckAt(600)).isTrue();
    }

    @Test
    void slowPeerIsNotStuck() {
        add(10);
        assertThat(stuckAt(0)).isFalse();
        buffer().removeBytes(1);
        assertThat(stuckAt(600)).isFalse();
        buffer().remove();
        add(10);
        assertThat(stuckAt(1_199)).isFalse();
        assertThat(stuckAt(1_798)).isFalse();
    }

    @Test
    void peerForWhichNothingWaitsIsNotStuck() {
        assertThat(stuckAt(0)).isFalse();
        assertThat(stuckAt(10_000)).isFalse();
        assertThat(progress.stuck(null, 0)).isFalse();
    }
}
