package io.masticfold.gateway.http;

import io.masticfold.core.memory.SlowReaders;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.log.GatewayEvent;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the pipelined requests of one connection and serves them one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerConnection.class);

    private final HttpServer server;
    private final TimeSource time;
    private final UnsentOutput output;
    private final ReadThrottle throttle;
    private final RequestReader reader;
    private final ConnectionTimer timer = new ConnectionTimer();
    private final PipelinedRequests waiting = new PipelinedRequests();
    private @Nullable ChannelHandlerContext context;
    private @Nullable CallerResponseWriter current;
    private long idleSinceNanos;
    private boolean closing;
    private boolean lastRequestRead;
    private boolean startPending;

    CallerConnection(HttpServer server, TimeSource time, UnsentOutput output, ReadThrottle throttle) {
        this.server = server;
        this.time = time;
        this.output = output;
        this.throttle = throttle;
        this.reader = new RequestReader(server, time, this);
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
        timer.cancel();
        waiting.releaseWaiting();
        reader.release();
        waiting.releaseServed();
        CallerResponseWriter writer = current;
        current = null;
        if (writer != null) {
            writer.callerDisconnected();
        }
    }

    /** Returns whether no request is being read, waiting or being served, and every response has left the process. */
    boolean idle() {
        return current == null && !reader.reading() && waiting.isEmpty() && output.isEmpty();
    }

    /** Closes the connection if it has been idle for the given time. */
    void closeIfIdleFor(Duration duration) {
        ChannelHandlerContext channelContext = context;
        if (!output.isEmpty()) {
            idleSinceNanos = time.nanoTime();
        }
        if (idle() && time.nanoTime() - idleSinceNanos >= duration.toNanos() && channelContext != null) {
            channelContext.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext source, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                refuse(BadRequestReason.of(object.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request) {
                timer.cancel();
                reader.begin(request);
            }
            if (message instanceof HttpContent content) {
                reader.append(source, content);
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

    /** Stops or continues reading for want of memory; the share of the event loop is kept all the same. */
    void setMemoryAvailable(boolean available) {
        throttle.setCallerReady(available);
    }

    void writeContinue() {
        ChannelHandlerContext channelContext = context;
        if (channelContext != null && current == null) {
            channelContext.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns whether no more requests may wait for the one being served. */
    boolean pipelineFull() {
        return waiting.full();
    }

    /** Adds a request that has been read or is rejected. */
    void enqueue(PendingRequest pending) {
        timer.cancel();
        waiting.add(pending);
        if (!pending.keepsAlive()) {
            lastRequestRead = true;
        }
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

    private void startNext() {
        ChannelHandlerContext channelContext = context;
        if (current != null
                || channelContext == null
                || !channelContext.channel().isActive()) {
            return;
        }
        PendingRequest next = waiting.next();
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
        output.attributeTo(next.memory().workspace());
        writer.setListener(next.start(server.handler(), writer));
    }

    /** Refuses the request that is being read, and closes the connection after the responses before it. */
    void refuse(BadRequestReason reason) {
        // A request read before is answered first.
        if (!waiting.isEmpty()) {
            startNext();
        }
        server.refused(reason);
        closing = true;
        timer.cancel();
        reader.release();
        ChannelHandlerContext channelContext = context;
        if (channelContext == null) {
            return;
        }
        CallerResponseWriter writer = current;
        if (writer != null) {
            // The response in progress is completed first; the connection closes after it.
            lastRequestRead = true;
            waiting.releaseWaiting();
            return;
        }
        channelContext.writeAndFlush(reason.response()).addListener(ChannelFutureListener.CLOSE);
    }

    private void armIdleTimer() {
        armTimer(server.limits().idleTimeout().toNanos(), this::idleTooLong);
    }

    /** Replaces the time-out of the connection. */
    void armTimer(long nanos, Runnable expired) {
        ChannelHandlerContext channelContext = context;
        if (channelContext != null) {
            long heldBackNanos = throttle.heldBackNanos();
            timer.arm(channelContext, nanos, () -> expired(expired, heldBackNanos));
        }
    }

    private void expired(Runnable action, long heldBackNanosAtStart) {
        long unreadNanos = throttle.heldBackNanos() - heldBackNanosAtStart;
        if (unreadNanos > 0) {
            // The caller is not late while its input is left unread.
            armTimer(unreadNanos, action);
        } else {
            action.run();
        }
    }

    private void idleTooLong() {
        ChannelHandlerContext channelContext = context;
        if (!output.isEmpty()) {
            armIdleTimer();
        } else if (idle() && channelContext != null) {
            closing = true;
            channelContext.close();
        }
    }

    /** Returns the progress of the output. */
    SlowReaders.Reader<CallerConnection> sample() {
        return output.sample(this);
    }

    /** Resets the connection, whose caller does not read. Its request ends as if the caller had closed it. */
    ShedReader shed(SlowReaders.Reader<CallerConnection> sampled, long nowNanos) {
        closing = true;
        return output.reset(sampled.unsentBytes(), Duration.ofNanos(sampled.stalledNanos(nowNanos)));
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
        waiting.releaseServed();
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
