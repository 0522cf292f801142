package io.masticfold.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Watches whether the peer of a connection takes the output that waits for it. Not thread-safe. */
final class OutputProgress {

    private final long timeoutNanos;
    private @Nullable Object first;
    private int leftOfFirst;
    private long sinceNanos;

    /**
     * Creates a watch.
     *
     * @param timeout time without progress after which the connection is stuck
     */
    OutputProgress(Duration timeout) {
        this.timeoutNanos = timeout.toNanos();
    }

    /**
     * Returns whether output has waited without any progress since an earlier call, for the timeout or longer.
     *
     * @param buffer output of the connection; null if it is closed
     */
    boolean stuck(@Nullable ChannelOutboundBuffer buffer, long nowNanos) {
        Object waiting = buffer == null ? null : buffer.current();
        int left = waiting instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        if (waiting == null || waiting != first || left != leftOfFirst) {
            first = waiting;
            leftOfFirst = left;
            sinceNanos = nowNanos;
            return false;
        }
        return nowNanos - sinceNanos >= timeoutNanos;
    }
}
