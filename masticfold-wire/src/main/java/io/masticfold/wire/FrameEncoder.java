package io.masticfold.wire;

import com.google.protobuf.CodedOutputStream;
import io.masticfold.wire.proto.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.EncoderException;
import java.io.IOException;

/**
 * Encodes a frame and its length prefix into a single buffer, so that the write promise of a frame succeeds only after
 * its last byte has been written to the socket.
 */
@Sharable
final class FrameEncoder extends ChannelOutboundHandlerAdapter {

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws IOException {
        ctx.write(message instanceof Frame frame ? encode(ctx, frame) : message, promise);
    }

    private static ByteBuf encode(ChannelHandlerContext ctx, Frame frame) throws IOException {
        int size = frame.getSerializedSize();
        if (size > WireLimits.MAX_FRAME_BYTES) {
            throw new EncoderException("frame of " + size + " bytes exceeds limit of " + WireLimits.MAX_FRAME_BYTES);
        }
        ByteBuf buffer = ctx.alloc().ioBuffer(Integer.BYTES + size);
        buffer.writeInt(size);
        CodedOutputStream output = CodedOutputStream.newInstance(buffer.nioBuffer(Integer.BYTES, size));
        frame.writeTo(output);
        output.flush();
        buffer.writerIndex(Integer.BYTES + size);
        return buffer;
    }
}
