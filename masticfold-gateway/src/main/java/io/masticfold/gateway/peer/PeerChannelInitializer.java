package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.function.Supplier;

/** Installs the frame codec and the handler of a connection between gateways. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

    private final Supplier<ChannelHandler> handler;

    PeerChannelInitializer(Supplier<ChannelHandler> handler) {
        this.handler = handler;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new ProtobufVarint32FrameDecoder())
                .addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(handler.get());
    }
}
