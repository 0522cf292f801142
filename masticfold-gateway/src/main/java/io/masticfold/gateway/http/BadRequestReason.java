package io.masticfold.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reasons for refusing a request before it is routed, each with its HTTP status. */
public enum BadRequestReason {
    MALFORMED(400),
    CONFLICTING_LENGTH(400),
    MISSING_HOST(400),
    HEADER_TOO_LARGE(431),
    BODY_TOO_LARGE(413),
    HEADER_TOO_SLOW(408),
    TOO_MANY_PIPELINED(400);

    private final int status;

    BadRequestReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns the name used in response bodies and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason for refusing a request that could not be decoded. */
    static BadRequestReason of(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HEADER_TOO_LARGE;
        }
        return String.valueOf(cause.getMessage()).contains("Content-Length") ? CONFLICTING_LENGTH : MALFORMED;
    }

    /** Returns the response, after which the connection is to be closed. */
    FullHttpResponse response() {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(code() + "\n", StandardCharsets.US_ASCII));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }
}
