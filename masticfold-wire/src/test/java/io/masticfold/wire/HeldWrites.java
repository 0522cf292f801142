package io.masticfold.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;

/** Holds back writes as a socket with a full send buffer does, and fails them when the channel is closed. */
final class HeldWrites extends ChannelOutboundHandlerAdapter {

    private final List<ChannelPromise> heldPromises = new ArrayList<>();
    private boolean holding;

    void hold() {
        holding = true;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (holding) {
            ReferenceCountUtil.release(message);
            heldPromises.add(promise);
        } else {
            ctx.write(message, promise);
        }
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        heldPromises.forEach(promised -> promised.tryFailure(new ClosedChannelException()));
        ctx.close(promise);
    }
}
