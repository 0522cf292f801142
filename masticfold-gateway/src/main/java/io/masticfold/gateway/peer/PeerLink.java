package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerHello;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** Manages the connection that this gateway opens to one peer. Not thread-safe. */
final class PeerLink {

    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final String peer;
    private final InetSocketAddress address;
    private final PeerLinks links;
    private @Nullable Channel channel;
    private boolean connecting;
    private boolean connected;
    private boolean draining;
    private boolean retired;
    private long lastReceivedNanos;
    private long nextAttemptNanos;
    private int consecutiveFailures;

    PeerLink(String peer, InetSocketAddress address, PeerLinks links, long nowNanos) {
        this.peer = peer;
        this.address = address;
        this.links = links;
        this.nextAttemptNanos = nowNanos;
    }

    String peer() {
        return peer;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean connected() {
        return connected;
    }

    boolean draining() {
        return draining;
    }

    boolean reconnectDue(long nowNanos) {
        return channel == null && !connecting && nowNanos - nextAttemptNanos >= 0;
    }

    boolean silent(long nowNanos, long silenceNanos) {
        return channel != null && nowNanos - lastReceivedNanos > silenceNanos;
    }

    void connect(EventLoopGroup group, long nowNanos) {
        connecting = true;
        lastReceivedNanos = nowNanos;
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new PeerChannelInitializer(Handler::new))
                .connect(address)
                .addListener(done -> {
                    connecting = false;
                    if (!done.isSuccess()) {
                        scheduleReconnect();
                    }
                });
    }

    private void scheduleReconnect() {
        consecutiveFailures++;
        nextAttemptNanos =
                links.nowNanos() + PeerLinks.reconnectDelay(consecutiveFailures).toNanos();
    }

    void send(PeerFrame frame) {
        Channel open = channel;
        if (open != null) {
            open.writeAndFlush(frame);
        }
    }

    /** Closes the connection for good, also one that is still being opened. */
    void retire() {
        retired = true;
        close();
    }

    void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
            disconnected();
        }
    }

    private void disconnected() {
        channel = null;
        scheduleReconnect();
        if (connected) {
            connected = false;
            links.connectionLost(peer);
        }
    }

    /** Handles the events of the connection. */
    private final class Handler extends SimpleChannelInboundHandler<PeerFrame> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (retired) {
                context.close();
                return;
            }
            channel = context.channel();
            lastReceivedNanos = links.nowNanos();
            context.writeAndFlush(PeerFrame.newBuilder()
                    .setHello(PeerHello.newBuilder().setNode(links.node()))
                    .build());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (channel != context.channel()) {
                return;
            }
            if (frame.hasHello() && !links.answersFor(peer, frame.getHello().getNode())) {
                links.listener().peerMismatch(peer, frame.getHello().getNode());
                close();
                return;
            }
            lastReceivedNanos = links.nowNanos();
            consecutiveFailures = 0;
            connected = true;
            if (frame.hasStatus()) {
                draining = frame.getStatus().getDraining();
            }
            links.listener().responseReceived(peer, frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                disconnected();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }
}
