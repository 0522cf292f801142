package io.masticfold.gateway.http;

import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.log.GatewayEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the pipelined requests of one connection and serves them one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Maximum number of pipelined requests that wait for the one being served. */
    static final int MAX_PIPELINED = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerConnection.class);

    private final HttpServer server;
    private final TimeSource time;
    private final ReadThrottle throttle;
    private final Deque<CallerRequest> waiting = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private @Nullable CallerResponseWriter current;
    private @Nullable Future<?> timer;
    private long headNanos;
    private long idleSinceNanos;
    private boolean closing;
    private boolean lastRequestRead;
    private boolean startPending;

    CallerConnection(HttpServer server, TimeSource time, ReadThrottle throttle) {
        this.server = server;
        this.time = time;
        this.throttle = throttle;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        throttle.opened(active.channel());
        idleSinceNanos = time.nanoTime();
        server.opened(this);
        armIdleTimer();
    }

    @Override
    public void channelInactive(ChannelHandlerContext _inactive) {
        server.closed(this);
        closing = true;
        cancelTimer();
        waiting.clear();
        releaseBody();
        CallerResponseWriter writer = current;
        current = null;
        if (writer != null) {
            writer.callerDisconnected();
        }
    }

    /** Returns whether no request is being read, waiting or being served, and every response has left the process. */
    boolean idle() {
        return current == null && head == null && waiting.isEmpty() && !flushing();
    }

    /** Returns whether bytes of a response wait for the caller to read. */
    private boolean flushing() {
        ChannelHandlerContext channelContext = context;
        ChannelOutboundBuffer unsent = channelContext == null
                ? null
                : channelContext.channel().unsafe().outboundBuffer();
        return unsent != null && !unsent.isEmpty();
    }

    /** Closes the connection if it has been idle for the given time. */
    void closeIfIdleFor(Duration duration) {
        ChannelHandlerContext channelContext = context;
        if (flushing()) {
            idleSinceNanos = time.nanoTime();
        }
        if (idle() && time.nanoTime() - idleSinceNanos >= duration.toNanos() && channelContext != null) {
            channelContext.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext _source, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                refuseMalformed(object.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Called for all bytes that the caller has sent, before they are decoded. */
    void bytesReceived() {
        throttle.bytesReceived();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext _context) {
        throttle.turnEnded();
    }

    private void refuseMalformed(Throwable cause) {
        boolean headerTooLarge =
                cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        boolean conflictingLength = String.valueOf(cause.getMessage()).contains("Content-Length");
        refuse(
                headerTooLarge
                        ? BadRequestReason.HEADER_TOO_LARGE
                        : conflictingLength ? BadRequestReason.CONFLICTING_LENGTH : BadRequestReason.MALFORMED);
    }

    private void begin(HttpRequest request) {
        cancelTimer();
        head = request;
        headNanos = time.nanoTime();
        body = Unpooled.buffer(0);
        RequestLimits limits = server.limits();
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            refuse(BadRequestReason.MISSING_HOST);
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuse(BadRequestReason.BODY_TOO_LARGE);
        } else {
            if (HttpUtil.is100ContinueExpected(request)) {
                writeContinue();
            }
            armTimer(limits.headerTimeout().toNanos(), BadRequestReason.HEADER_TOO_SLOW);
        }
    }

    private void writeContinue() {
        ChannelHandlerContext channelContext = context;
        if (channelContext != null && current == null) {
            channelContext.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(HttpContent content) {
        ByteBuf buffer = body;
        HttpRequest request = head;
        if (buffer == null || request == null) {
            return;
        }
        if (buffer.readableBytes() + content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            refuse(BadRequestReason.BODY_TOO_LARGE);
            return;
        }
        buffer.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            complete(request, buffer);
        }
    }

    private void complete(HttpRequest request, ByteBuf buffer) {
        cancelTimer();
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        releaseBody();
        head = null;
        if (waiting.size() >= MAX_PIPELINED) {
            refuse(BadRequestReason.TOO_MANY_PIPELINED);
            return;
        }
        waiting.add(new CallerRequest(request.method(), request.uri(), request.headers(), bytes, headNanos));
        checkKeepAlive(request);
        scheduleNext();
    }

    /**
     * Starts the next request after the events that are pending on the event loop. A caller that gave up while its
     * request waited in the socket has closed the connection by then.
     */
    private void scheduleNext() {
        ChannelHandlerContext channelContext = context;
        if (current == null && channelContext != null && !startPending) {
            startPending = true;
            channelContext.executor().execute(this::startPendingRequest);
        }
    }

    private void startPendingRequest() {
        startPending = false;
        startNext();
    }

    private void checkKeepAlive(HttpRequest request) {
        if (!HttpUtil.isKeepAlive(request)) {
            lastRequestRead = true;
        }
    }

    private void startNext() {
        ChannelHandlerContext channelContext = context;
        if (current != null
                || channelContext == null
                || !channelContext.channel().isActive()) {
            return;
        }
        CallerRequest next = waiting.poll();
        if (next == null) {
            // A draining server closes the connection only after a response that has announced it: the caller may be
            // sending its next request.
            if (lastRequestRead) {
                closing = true;
                channelContext.close();
            } else {
                armIdleTimer();
            }
            return;
        }
        CallerResponseWriter writer = new CallerResponseWriter(this, channelContext);
        current = writer;
        writer.setListener(server.handler().handle(next, writer));
    }

    private void refuse(BadRequestReason reason) {
        // A request read before is answered first.
        if (!waiting.isEmpty()) {
            startNext();
        }
        server.refused(reason);
        closing = true;
        cancelTimer();
        releaseBody();
        head = null;
        ChannelHandlerContext channelContext = context;
        if (channelContext == null) {
            return;
        }
        CallerResponseWriter writer = current;
        if (writer != null) {
            // The response in progress is completed first; the connection closes after it.
            lastRequestRead = true;
            waiting.clear();
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reason.status()),
                Unpooled.copiedBuffer(reason.code() + "\n", StandardCharsets.US_ASCII));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channelContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void armIdleTimer() {
        armTimer(server.limits().idleTimeout().toNanos(), null);
    }

    private void armTimer(long nanos, @Nullable BadRequestReason reason) {
        cancelTimer();
        ChannelHandlerContext channelContext = context;
        if (channelContext != null) {
            long heldBackNanos = throttle.heldBackNanos();
            timer = channelContext
                    .executor()
                    .schedule(() -> expired(channelContext, reason, heldBackNanos), nanos, TimeUnit.NANOSECONDS);
        }
    }

    private void expired(
            ChannelHandlerContext channelContext, @Nullable BadRequestReason reason, long heldBackNanosAtStart) {
        long unreadNanos = throttle.heldBackNanos() - heldBackNanosAtStart;
        if (unreadNanos > 0) {
            // The caller is not late while its input is left unread.
            armTimer(unreadNanos, reason);
        } else if (reason != null) {
            refuse(reason);
        } else if (flushing()) {
            armIdleTimer();
        } else if (idle()) {
            closing = true;
            channelContext.close();
        }
    }

    private void cancelTimer() {
        Future<?> armed = timer;
        timer = null;
        if (armed != null) {
            armed.cancel(false);
        }
    }

    private void releaseBody() {
        ByteBuf buffer = body;
        body = null;
        if (buffer != null) {
            buffer.release();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        CallerResponseWriter writer = current;
        if (writer != null) {
            writer.writabilityChanged(changed.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error(
                    "MF{} {}",
                    GatewayEvent.CONNECTION_FAILED.number(),
                    GatewayEvent.CONNECTION_FAILED.template(),
                    cause);
        }
        failed.close();
    }

    /** Starts the next request, or closes the connection after the last response. */
    void responseCompleted(ChannelHandlerContext channelContext) {
        current = null;
        idleSinceNanos = time.nanoTime();
        if (lastResponse()) {
            closing = true;
            channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (waiting.isEmpty()) {
            scheduleNext();
        } else if (!startPending) {
            startPending = true;
            server.pipelinedStarts().add(channelContext.executor(), this::startPendingRequest);
        }
    }

    /** Resets the connection, which a caller cannot take for the end of a body. */
    void abort(ChannelHandlerContext channelContext) {
        closing = true;
        current = null;
        channelContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        channelContext.close();
    }

    /** Returns whether the connection is to be closed after the response that starts now. */
    boolean closesAfterResponse() {
        if (lastResponse() || server.draining()) {
            lastRequestRead = true;
            return true;
        }
        return false;
    }

    private boolean lastResponse() {
        return lastRequestRead && waiting.isEmpty();
    }
}
