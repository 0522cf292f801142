package io.masticfold.gateway.http;

import io.masticfold.gateway.log.GatewayEvent;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the response to one request to its connection. Used on the event loop of the connection only. */
final class CallerResponseWriter implements CallerResponse {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerResponseWriter.class);

    private final CallerConnection connection;
    private final ChannelHandlerContext context;
    private CallerListener listener = CallerListener.NONE;
    private boolean disconnected;
    private boolean started;
    private boolean ended;

    CallerResponseWriter(CallerConnection connection, ChannelHandlerContext context) {
        this.connection = connection;
        this.context = context;
    }

    /** Sets the listener; it is notified at once if the caller has already disconnected. */
    void setListener(CallerListener newListener) {
        listener = newListener;
        if (disconnected && !ended) {
            callerDisconnected();
        }
    }

    void callerDisconnected() {
        disconnected = true;
        if (!ended) {
            ended = true;
            listener.disconnected();
        }
    }

    void writabilityChanged(boolean writable) {
        listener.writabilityChanged(writable);
    }

    @Override
    public void send(int status, HttpHeaders headers, ByteBuf content) {
        if (ended) {
            content.release();
            return;
        }
        if (refuseSecondHead()) {
            content.release();
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                content,
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        HttpUtil.setContentLength(response, content.readableBytes());
        connectionHeader(headers);
        context.writeAndFlush(response);
        complete();
    }

    @Override
    public void start(int status, HttpHeaders headers) {
        if (ended || refuseSecondHead()) {
            return;
        }
        started = true;
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connectionHeader(headers);
        context.writeAndFlush(
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /**
     * Resets the connection if a response has been started: a second one on its place would be read as a part of its
     * body.
     */
    private boolean refuseSecondHead() {
        if (started) {
            LOGGER.error(
                    "MF{} {}",
                    GatewayEvent.SECOND_RESPONSE_REFUSED.number(),
                    GatewayEvent.SECOND_RESPONSE_REFUSED.template());
            abort();
        }
        return started;
    }

    private void connectionHeader(HttpHeaders headers) {
        if (connection.closesAfterResponse()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void write(ByteBuf bytes) {
        if (ended) {
            bytes.release();
            return;
        }
        context.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public void finish() {
        if (!ended) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            complete();
        }
    }

    @Override
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort(context);
        }
    }

    @Override
    public boolean writable() {
        return context.channel().isWritable();
    }

    private void complete() {
        ended = true;
        connection.responseCompleted(context);
    }
}
