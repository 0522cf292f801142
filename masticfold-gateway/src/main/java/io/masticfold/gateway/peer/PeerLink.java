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
    private final PeerLinks owner;
    private @Nullable Channel channel;
    private boolean connecting;
    private boolean up;
    private boolean draining;
    private long heardNanos;
    private long nextTryNanos;
    private int failures;

    PeerLink(String peer, InetSocketAddress address, PeerLinks owner, long nowNanos) {
        this.peer = peer;
        this.address = address;
        this.owner = owner;
        this.nextTryNanos = nowNanos;
    }

    String peer() {
        return peer;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean up() {
        return up;
    }

    boolean draining() {
        return draining;
    }

    boolean due(long nowNanos) {
        return channel == null && !connecting && nowNanos - nextTryNanos >= 0;
    }

    boolean silent(long nowNanos, long silenceNanos) {
        return channel != null && nowNanos - heardNanos > silenceNanos;
    }

    void connect(EventLoopGroup group, long nowNanos) {
        connecting = true;
        heardNanos = nowNanos;
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new PeerPipeline(Handler::new))
                .connect(address)
                .addListener(done -> {
                    connecting = false;
                    if (!done.isSuccess()) {
                        failed();
                    }
                });
    }

    private void failed() {
        failures++;
        nextTryNanos = owner.nowNanos() + PeerLinks.reconnectPause(failures).toNanos();
    }

    void send(PeerFrame frame) {
        Channel open = channel;
        if (open != null) {
            open.writeAndFlush(frame);
        }
    }

    void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
            down();
        }
    }

    private void down() {
        channel = null;
        failed();
        if (up) {
            up = false;
            owner.down(peer);
        }
    }

    /** Handles the events of the connection. */
    private final class Handler extends SimpleChannelInboundHandler<PeerFrame> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            heardNanos = owner.nowNanos();
            context.writeAndFlush(PeerFrame.newBuilder()
                    .setHello(PeerHello.newBuilder().setNode(owner.node()))
                    .build());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (channel != context.channel()) {
                return;
            }
            heardNanos = owner.nowNanos();
            failures = 0;
            up = true;
            if (frame.hasStatus()) {
                draining = frame.getStatus().getDraining();
            }
            owner.listener().answered(peer, frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                down();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }
}
