package io.masticfold.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether a server that has ended its output had read the whole request. One that closes its connection
 * before resets it as soon as more of the request arrives. A reset after the end of the output can be noticed by a
 * write only. What is written follows the request, and no response to it is read.
 */
final class ResetProbe {

    /** Time until a reset has arrived that the last bytes of the request cause. */
    private static final int ROUND_TRIPS_UNTIL_RESET = 2;

    private static final Duration MIN_WAIT = Duration.ofMillis(2);
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private ResetProbe() {}

    /**
     * Starts a probe.
     *
     * @param context context of the connection
     * @param roundTripNanos round-trip time to the server, in nanoseconds
     * @param onResult called once with whether the connection is open
     */
    static void start(ChannelHandlerContext context, long roundTripNanos, Consumer<Boolean> onResult) {
        long waitNanos = Math.max(MIN_WAIT.toNanos(), ROUND_TRIPS_UNTIL_RESET * roundTripNanos);
        // Written below the codec, which would take it for a request.
        context.executor()
                .schedule(
                        () -> context.pipeline()
                                .firstContext()
                                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                                .addListener(written -> onResult.accept(written.isSuccess())),
                        waitNanos,
                        TimeUnit.NANOSECONDS);
    }
}
