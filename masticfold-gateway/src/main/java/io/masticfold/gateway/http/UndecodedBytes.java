package io.masticfold.gateway.http;

/**
 * Counts what one connection holds of a response beside the parts of its body: the head, which is kept until the
 * exchange ends, and bytes that the decoder keeps until it has a whole line. Each has a limit of its own, but thousands
 * of connections may hold as much at once. Used on one event loop only.
 */
final class UndecodedBytes {

    /** Memory for each byte of a head that is received, and kept as a field. */
    private static final int HEAD_FACTOR = 2;

    private final ResponseMemory memory;
    private long headBytes;
    private long bodyBytes;

    UndecodedBytes(ResponseMemory memory) {
        this.memory = memory;
    }

    /** Counts bytes of heads; returns false, and counts nothing, if there is no memory for them. */
    boolean addToHead(int bytes) {
        long reservation = (long) HEAD_FACTOR * bytes;
        if (!memory.reserve(reservation)) {
            return false;
        }
        headBytes += reservation;
        return true;
    }

    /** Counts bytes after the head; returns false, and counts nothing, if there is no memory for them. */
    boolean addToBody(int bytes) {
        if (!memory.reserve(bytes)) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    /** Releases the bytes after the head: a part of the body was decoded. */
    void bodyDecoded() {
        memory.release(bodyBytes);
        bodyBytes = 0;
    }

    /** Releases everything at the end of an exchange. */
    void release() {
        memory.release(headBytes + bodyBytes);
        headBytes = 0;
        bodyBytes = 0;
    }
}
