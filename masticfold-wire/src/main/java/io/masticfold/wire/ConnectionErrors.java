package io.masticfold.wire;

import io.masticfold.core.telemetry.Telemetry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs, counts and closes connections that fail, without affecting the rest of the process. An
 * {@link IllegalArgumentException} is treated as a protocol violation: a value in a frame is out of range.
 */
final class ConnectionErrors {

    private static final Logger LOGGER = LoggerFactory.getLogger(ConnectionErrors.class);

    private ConnectionErrors() {}

    static void closeOnError(ChannelHandlerContext ctx, Telemetry telemetry, Throwable cause) {
        Object remote = ctx.channel().remoteAddress();
        if (cause instanceof DecoderException || cause instanceof IllegalArgumentException) {
            closeOnViolation(ctx, telemetry, String.valueOf(cause.getMessage()));
        } else if (cause instanceof IOException) {
            telemetry.count("connection_failed");
            WireEvent.CONNECTION_FAILED.log(LOGGER, remote, String.valueOf(cause.getMessage()));
        } else {
            telemetry.count("connection_handler_failed");
            WireEvent.HANDLER_FAILED.log(LOGGER, remote, cause);
        }
        ctx.close();
    }

    static void closeOnViolation(ChannelHandlerContext ctx, Telemetry telemetry, String reason) {
        telemetry.count("frame_rejected");
        WireEvent.FRAME_REJECTED.log(LOGGER, ctx.channel().remoteAddress(), reason);
        ctx.close();
    }
}
