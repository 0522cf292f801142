package io.masticfold.gateway.http;

import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.memory.MemoryReservation;
import io.masticfold.core.time.TimeSource;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Reads the requests of one connection within the limits and the memory that there is for them. */
final class RequestReader {

    /** Interval at which a connection that is not read for want of memory is looked at again. */
    private static final int RESUME_CHECK_MILLIS = 20;

    private final HttpServer server;
    private final TimeSource time;
    private final CallerConnection connection;
    private @Nullable RequestAssembly assembly;
    private long droppedBytes;
    private boolean paused;

    RequestReader(HttpServer server, TimeSource time, CallerConnection connection) {
        this.server = server;
        this.time = time;
        this.connection = connection;
    }

    /** Returns whether a request has been begun and is not complete. */
    boolean reading() {
        return assembly != null;
    }

    /** Begins a request whose head has been read. */
    void begin(HttpRequest request) {
        droppedBytes = 0;
        Optional<String> target = RequestTarget.decode(request.uri());
        if (target.isEmpty()) {
            connection.refuse(BadRequestReason.MALFORMED);
            return;
        }
        request.setUri(target.get());
        RequestLimits limits = server.limits();
        long announced = HttpUtil.getContentLength(request, 0L);
        RequestAssembly begun = new RequestAssembly(
                request,
                time.nanoTime(),
                new MemoryReservation(server.account(), server.handler().workspace(request.headers())),
                announced > 0 && announced < limits.maxBodyBytes() ? (int) announced : limits.maxBodyBytes());
        assembly = begun;
        boolean hasBody = announced > 0 || HttpUtil.isTransferEncodingChunked(request);
        boolean awaitsContinue = HttpUtil.is100ContinueExpected(request);
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            connection.refuse(BadRequestReason.MISSING_HOST);
        } else if (announced > limits.maxBodyBytes()) {
            connection.refuse(BadRequestReason.BODY_TOO_LARGE);
        } else if (hasBody && !begun.admit(announced)) {
            // A caller that waits for "100 Continue" may send its next request in place of the body.
            reject(begun, !awaitsContinue);
        } else {
            if (awaitsContinue) {
                connection.writeContinue();
            }
            connection.armTimer(limits.headerTimeout().toNanos(), this::expired);
        }
    }

    /** Reads a part of the body, or drops it if its request was rejected. */
    void append(ChannelHandlerContext context, HttpContent content) {
        RequestAssembly reading = assembly;
        int length = content.content().readableBytes();
        int maxBodyBytes = server.limits().maxBodyBytes();
        if (reading == null) {
            droppedBytes += length;
            if (droppedBytes > maxBodyBytes) {
                connection.refuse(BadRequestReason.BODY_TOO_LARGE);
            }
        } else if (reading.bodyBytes() + length > maxBodyBytes) {
            connection.refuse(BadRequestReason.BODY_TOO_LARGE);
        } else if (!reading.append(content.content())) {
            reject(reading, true);
        } else if (content instanceof LastHttpContent) {
            complete(reading);
        } else if (length > 0 && server.account().crowded()) {
            pause(context);
        }
    }

    private void complete(RequestAssembly read) {
        if (connection.pipelineFull()) {
            connection.refuse(BadRequestReason.TOO_MANY_PIPELINED);
            return;
        }
        assembly = null;
        connection.enqueue(read.complete());
    }

    /** Rejects the request that is being read. The rest of its body is read and dropped. */
    private void reject(RequestAssembly rejected, boolean keepsAlive) {
        assembly = null;
        connection.enqueue(rejected.reject(keepsAlive));
    }

    private void expired() {
        RequestAssembly reading = assembly;
        if (paused && reading != null) {
            reject(reading, true);
        } else {
            connection.refuse(BadRequestReason.HEADER_TOO_SLOW);
        }
    }

    /** Stops reading until there is more memory, or until the time-out for the request rejects it. */
    private void pause(ChannelHandlerContext context) {
        if (!paused) {
            paused = true;
            connection.setMemoryAvailable(false);
            scheduleResume(context);
        }
    }

    private void scheduleResume(ChannelHandlerContext context) {
        context.executor().schedule(() -> resume(context), RESUME_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resume(ChannelHandlerContext context) {
        if (assembly != null && server.account().crowded()) {
            scheduleResume(context);
        } else {
            paused = false;
            connection.setMemoryAvailable(true);
        }
    }

    /** Gives up the request that is being read, and its memory. */
    void release() {
        RequestAssembly reading = assembly;
        assembly = null;
        if (reading != null) {
            reading.release();
        }
    }
}
