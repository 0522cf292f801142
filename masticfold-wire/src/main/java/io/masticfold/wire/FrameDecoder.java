package io.masticfold.wire;

import io.masticfold.wire.proto.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Decodes frames with a four-byte length prefix. The frame limit is small until the peer is authenticated. Bytes that
 * follow an invalid frame, or arrive after this side has closed the channel, are discarded.
 */
final class FrameDecoder extends ByteToMessageDecoder {

    private int maxLength = WireLimits.MAX_HANDSHAKE_FRAME_BYTES;
    private boolean invalidFrame;

    void allowLargeFrames() {
        maxLength = WireLimits.MAX_FRAME_BYTES;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (invalidFrame || !ctx.channel().isActive()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > maxLength) {
            invalidFrame = true;
            throw new CorruptedFrameException("frame length " + length + " is not between 1 and " + maxLength);
        }
        if (in.readableBytes() - Integer.BYTES < length) {
            return;
        }
        int start = in.readerIndex() + Integer.BYTES;
        invalidFrame = true;
        Frame frame = Frame.parseFrom(in.nioBuffer(start, length));
        invalidFrame = false;
        in.skipBytes(Integer.BYTES + length);
        out.add(frame);
    }
}
