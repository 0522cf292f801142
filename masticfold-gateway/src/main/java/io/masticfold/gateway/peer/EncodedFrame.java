package io.masticfold.gateway.peer;

import com.google.protobuf.CodedOutputStream;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.Channel;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Frame that is encoded once for several connections. The creator must close it after the last send. */
final class EncodedFrame implements AutoCloseable {

    private final ByteBuf bytes;

    /** Encodes a frame with the length prefix that the codec of {@link PeerChannelInitializer} writes. */
    EncodedFrame(PeerFrame frame) {
        int size = frame.getSerializedSize();
        bytes = ByteBufAllocator.DEFAULT.directBuffer(CodedOutputStream.computeUInt32SizeNoTag(size) + size);
        try (ByteBufOutputStream out = new ByteBufOutputStream(bytes)) {
            frame.writeDelimitedTo(out);
        } catch (IOException e) {
            bytes.release();
            throw new UncheckedIOException("a buffer in memory refused a frame", e);
        }
    }

    /** Sends the frame on a connection, after the frames sent there before. */
    void sendTo(Channel channel) {
        // A write from the first handler of the pipeline passes by the codec.
        channel.pipeline().firstContext().writeAndFlush(bytes.retainedDuplicate());
    }

    @Override
    public void close() {
        bytes.release();
    }
}
