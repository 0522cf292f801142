package io.masticfold.gateway.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/** Buffers the body of one response, up to a limit. Used on one event loop only. */
public final class ResponseBody {

    /** Maximum size of a buffered body, in bytes. */
    public static final int MAX_BYTES = 8 * 1024 * 1024;

    /**
     * Reserved for each chunk in addition to its bytes. Bounds the work on answers of tiny chunks as well as their
     * memory.
     */
    static final int CHUNK_OVERHEAD_BYTES = 64;

    private final ResponseMemory memory;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long reservedBytes;

    /**
     * Creates an empty body.
     *
     * @param memory limit of all responses
     */
    public ResponseBody(ResponseMemory memory) {
        this.memory = memory;
    }

    /** Appends bytes; returns false, and appends nothing, if that exceeds the limit of the body or of all responses. */
    public boolean append(ByteBuf chunk) {
        int length = chunk.readableBytes();
        int reservation = length + CHUNK_OVERHEAD_BYTES;
        if (bytes.size() + length > MAX_BYTES || !memory.reserve(reservation)) {
            return false;
        }
        reservedBytes += reservation;
        byte[] copy = new byte[length];
        chunk.getBytes(chunk.readerIndex(), copy);
        bytes.writeBytes(copy);
        return true;
    }

    /** Returns the bytes received so far. */
    public byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Returns the reserved memory. The body must not be appended to afterwards. */
    public void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }
}
