package io.masticfold.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.flush.FlushConsolidationHandler;

/** Initializes the channel pipeline of a new connection. */
final class WireChannelInitializer extends ChannelInitializer<Channel> {

    private static final FrameEncoder ENCODER = new FrameEncoder();

    private final WireEnvironment environment;
    private final ConnectionFactory factory;

    WireChannelInitializer(WireEnvironment environment, ConnectionFactory factory) {
        this.environment = environment;
        this.factory = factory;
    }

    @Override
    protected void initChannel(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true));
        pipeline.addLast(new FrameDecoder());
        pipeline.addLast(ENCODER);
        pipeline.addLast("handshake", new HandshakeHandler(environment, factory));
    }
}
