package io.masticfold.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a connection to an address open: reconnects after each loss or failure until stopped. */
final class Dialer {

    private static final Logger LOGGER = LoggerFactory.getLogger(Dialer.class);

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final SocketAddress address;
    private final Backoff backoff;
    private volatile boolean stopped;

    /**
     * Creates a dialer.
     *
     * @param bootstrap bootstrap that initializes the channel; must use the event loop
     * @param loop event loop of the link
     * @param address address of the agent
     * @param backoff delays between connection attempts; confined to the event loop
     */
    Dialer(Bootstrap bootstrap, EventLoop loop, SocketAddress address, Backoff backoff) {
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.address = address;
        this.backoff = backoff;
    }

    void dial() {
        if (!stopped) {
            bootstrap.connect(address).addListener(future -> connectFinished((ChannelFuture) future));
        }
    }

    private void connectFinished(ChannelFuture future) {
        Channel channel = future.channel();
        if (!future.isSuccess()) {
            scheduleRetry(String.valueOf(future.cause()));
        } else if (stopped) {
            channel.close();
        } else {
            channel.closeFuture().addListener(_closed -> scheduleRetry("connection closed"));
        }
    }

    /** Resets the backoff after a successful handshake; a connection that closes earlier does not reset it. */
    void resetBackoff() {
        backoff.reset();
    }

    private void scheduleRetry(String reason) {
        if (stopped) {
            return;
        }
        Duration delay = backoff.next();
        WireEvent.DIAL_FAILED.log(LOGGER, address, delay.toMillis(), reason);
        try {
            loop.schedule(this::dial, delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException _e) {
            stopped = true;
        }
    }

    void stop() {
        stopped = true;
    }

    boolean stopped() {
        return stopped;
    }
}
