package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryReservation;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** Collects one request of a connection while it is read. Its memory is reserved as its body grows. */
final class RequestAssembly {

    private static final byte[] NO_BODY = {};

    private final HttpRequest head;
    private final long headNanos;
    private final MemoryReservation memory;
    private final ByteBuf body;

    /**
     * Creates an empty request.
     *
     * @param maxBodyBytes announced length of the body, or the largest one if none is announced
     */
    RequestAssembly(HttpRequest head, long headNanos, MemoryReservation memory, int maxBodyBytes) {
        this.head = head;
        this.headNanos = headNanos;
        this.memory = memory;
        this.body = Unpooled.buffer(0, maxBodyBytes);
    }

    /** Reserves memory for the announced length; returns false if that is not admitted. */
    boolean admit(long announcedBytes) {
        return memory.admit(announcedBytes);
    }

    int bodyBytes() {
        return body.readableBytes();
    }

    /** Appends a part of the body; returns false, and appends nothing, if there is no memory for it. */
    boolean append(ByteBuf part) {
        int needed = body.readableBytes() + part.readableBytes();
        if (needed > body.capacity()
                && !memory.admit(UnpooledByteBufAllocator.DEFAULT.calculateNewCapacity(needed, body.maxCapacity()))) {
            return false;
        }
        body.writeBytes(part);
        return true;
    }

    /** Returns the complete request, which holds the memory of its body from now on. */
    PendingRequest complete() {
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        body.release();
        memory.resize(bytes.length);
        return new PendingRequest(request(bytes), memory, HttpUtil.isKeepAlive(head), false);
    }

    /** Gives the body up and returns the request without it, to be rejected. */
    PendingRequest reject(boolean keepsAlive) {
        release();
        return new PendingRequest(request(NO_BODY), memory, keepsAlive && HttpUtil.isKeepAlive(head), true);
    }

    private CallerRequest request(byte[] bytes) {
        return new CallerRequest(head.method(), head.uri(), head.headers(), bytes, headNanos);
    }

    /** Releases the body and its memory. */
    void release() {
        body.release();
        memory.close();
    }
}
