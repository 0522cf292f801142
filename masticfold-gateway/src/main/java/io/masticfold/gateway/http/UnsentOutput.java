package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.memory.SlowReaders;
import io.masticfold.core.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Counts the output of one connection that its peer has not taken yet. The handler next to the socket. */
final class UnsentOutput extends ChannelOutboundHandlerAdapter {

    private final MemoryAccount account;
    private final TimeSource time;
    private final Runnable whenExceeded;
    private @Nullable Channel channel;
    private String workspace = "";
    private long unsentBytes;
    private long progressNanos;
    private int unsentOfFirstWrite;

    /**
     * Creates the handler.
     *
     * @param whenExceeded called after a write that exceeds the limit of the account
     */
    UnsentOutput(MemoryAccount account, TimeSource time, Runnable whenExceeded) {
        this.account = account;
        this.time = time;
        this.whenExceeded = whenExceeded;
    }

    /** Sets the workspace to which the writes from now on are attributed. */
    void attributeTo(String name) {
        workspace = name;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        if (bytes == 0) {
            context.write(message, promise);
            return;
        }
        if (unsentBytes == 0) {
            progressNanos = time.nanoTime();
        }
        unsentBytes += bytes;
        String holder = workspace;
        account.add(holder, bytes);
        // A write that fails, or that a close drops, completes its promise as well.
        context.write(message, promise.unvoid().addListener(_done -> {
            unsentBytes -= bytes;
            progressNanos = time.nanoTime();
            account.release(holder, bytes);
        }));
        if (account.exceeded()) {
            whenExceeded.run();
        }
    }

    /** Returns whether the peer has taken all output. */
    boolean isEmpty() {
        ChannelOutboundBuffer buffer = buffer();
        return buffer == null || buffer.isEmpty();
    }

    private @Nullable ChannelOutboundBuffer buffer() {
        Channel open = channel;
        return open == null ? null : open.unsafe().outboundBuffer();
    }

    /** Returns the progress of a connection, that within a write included. */
    SlowReaders.Reader<CallerConnection> sample(CallerConnection connection) {
        ChannelOutboundBuffer buffer = buffer();
        int unsent = buffer != null && buffer.current() instanceof ByteBuf first ? first.readableBytes() : 0;
        if (unsent != unsentOfFirstWrite) {
            unsentOfFirstWrite = unsent;
            progressNanos = time.nanoTime();
        }
        return new SlowReaders.Reader<>(connection, unsentBytes, progressNanos);
    }

    /** Resets the connection, so that the output that waits is dropped here and in the socket. */
    ShedReader reset(long dropped, Duration stalled) {
        String address = "";
        Channel open = channel;
        if (open != null) {
            address = String.valueOf(open.remoteAddress());
            open.config().setOption(ChannelOption.SO_LINGER, 0);
            open.close();
        }
        return new ShedReader(address, workspace, dropped, stalled);
    }
}
