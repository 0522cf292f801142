package io.masticfold.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The one time-out of a connection that is armed at a time. */
final class ConnectionTimer {

    private @Nullable Future<?> armed;

    /** Replaces the time-out. */
    void arm(ChannelHandlerContext context, long nanos, Runnable expired) {
        cancel();
        armed = context.executor().schedule(expired, nanos, TimeUnit.NANOSECONDS);
    }

    void cancel() {
        Future<?> before = armed;
        armed = null;
        if (before != null) {
            before.cancel(false);
        }
    }
}
