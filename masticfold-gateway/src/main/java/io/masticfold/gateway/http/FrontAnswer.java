package io.masticfold.gateway.http;

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

/** Writes the response to one request to its connection. Used on the event loop of the connection only. */
final class FrontAnswer implements CallerResponse {

    private final FrontConnection connection;
    private final ChannelHandlerContext open;
    private CallerListener listener = CallerListener.NONE;
    private boolean left;
    private boolean ended;

    FrontAnswer(FrontConnection connection, ChannelHandlerContext open) {
        this.connection = connection;
        this.open = open;
    }

    /** Sets the listener; it is notified at once if the caller has already disconnected. */
    void listen(CallerListener hearing) {
        listener = hearing;
        if (left && !ended) {
            callerLeft();
        }
    }

    void callerLeft() {
        left = true;
        if (!ended) {
            ended = true;
            listener.left();
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
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                content,
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        HttpUtil.setContentLength(response, content.readableBytes());
        connectionHeader(headers);
        open.writeAndFlush(response);
        done();
    }

    @Override
    public void start(int status, HttpHeaders headers) {
        if (ended) {
            return;
        }
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connectionHeader(headers);
        open.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    private void connectionHeader(HttpHeaders headers) {
        if (connection.endsWithAnswer()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void write(ByteBuf bytes) {
        if (ended) {
            bytes.release();
            return;
        }
        open.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public void finish() {
        if (!ended) {
            open.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            done();
        }
    }

    @Override
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort(open);
        }
    }

    @Override
    public boolean writable() {
        return open.channel().isWritable();
    }

    private void done() {
        ended = true;
        connection.answered(open);
    }
}
