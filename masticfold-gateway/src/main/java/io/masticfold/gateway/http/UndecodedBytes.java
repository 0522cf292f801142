package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;

/**
 * Counts what one connection holds of a response beside the parts of its body: the head, which is kept until the
 * exchange ends, and bytes that the decoder keeps until it has a whole line. Each has a limit of its own, but thousands
 * of connections may hold as much at once. What an ordinary response holds is not counted, so that a shortage of memory
 * fails none. Used on one event loop only.
 */
final class UndecodedBytes {

    /** Bytes of a head, and after it, that are not counted. */
    static final int FREE_BYTES = 4096;

    /** Memory for each byte of a head that is received, and kept as a field. */
    private static final int HEAD_FACTOR = 2;

    private final ResponseMemory memory;
    private int headBytes;
    private int bodyBytes;
    private long reservedBytes;

    UndecodedBytes(ResponseMemory memory) {
        this.memory = memory;
    }

    /** Counts bytes of a head that is not complete; returns false if there is no memory for them. */
    boolean addToHead(int bytes) {
        headBytes += bytes;
        return reserve();
    }

    /** Counts a head in place of the bytes before its end; returns false if there is no memory for it. */
    boolean headDecoded(HttpResponse response) {
        headBytes = size(response.headers());
        return reserve();
    }

    /** Returns the size of the fields of the head, or of what has arrived of it, in bytes. */
    int headBytes() {
        return headBytes;
    }

    private static int size(HttpHeaders headers) {
        int size = 0;
        for (Map.Entry<String, String> field : headers) {
            size += field.getKey().length() + field.getValue().length();
        }
        return size;
    }

    /** Counts bytes after the head that are not decoded; returns false if there is no memory for them. */
    boolean addToBody(int bytes) {
        bodyBytes += bytes;
        return reserve();
    }

    /** Releases the bytes after the head: a part of the body was decoded. */
    void bodyDecoded() {
        bodyBytes = 0;
        reserve();
    }

    /** Releases everything at the end of an exchange. */
    void release() {
        headBytes = 0;
        bodyBytes = 0;
        reserve();
    }

    /** Adjusts the reservation; returns false, and keeps the former one, if more is needed than there is. */
    private boolean reserve() {
        long needed = (long) HEAD_FACTOR * Math.max(0, headBytes - FREE_BYTES) + Math.max(0, bodyBytes - FREE_BYTES);
        if (needed > reservedBytes && !memory.reserve(needed - reservedBytes)) {
            return false;
        }
        if (needed < reservedBytes) {
            memory.release(reservedBytes - needed);
        }
        reservedBytes = needed;
        return true;
    }
}
