package io.masticfold.core.stream;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Puts the parts of a stream in order. Parts may arrive reordered, doubled or overlapping; each byte is passed on once.
 * The stream is complete only when an end mark gave its total and every byte up to it has been passed on, so a stream
 * that was cut is never taken for a finished one. Used by one thread at a time.
 */
public final class StreamReassembler {

    /** Most bytes that wait behind a gap. */
    public static final int MAX_PENDING_BYTES = 256 * 1024;

    /** Largest stream, in bytes; a larger one is refused, since the whole answer is held in memory. */
    public static final int MAX_STREAM_BYTES = 16 * 1024 * 1024;

    private static final long NO_TOTAL = -1;

    private final ChunkSink sink;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final TreeMap<Long, Payload> pending = new TreeMap<>();
    private int pendingBytes;
    private long total = NO_TOTAL;

    /**
     * Creates an empty stream.
     *
     * @param sink receives the parts in order
     */
    public StreamReassembler(ChunkSink sink) {
        this.sink = sink;
    }

    /**
     * Takes a part.
     *
     * @param offset offset of the first byte within the stream, in bytes
     * @param bytes the part
     * @throws MasticfoldException of kind {@link ErrorKind#PROTOCOL_VIOLATION} if the part lies outside the stream, and
     *     of kind {@link ErrorKind#QUEUE_FULL} if too much waits behind a gap
     */
    public void part(long offset, Payload bytes) throws MasticfoldException {
        long end = offset + bytes.size();
        if (offset < 0 || end > MAX_STREAM_BYTES || (total != NO_TOTAL && end > total)) {
            throw new MasticfoldException(
                    ErrorKind.PROTOCOL_VIOLATION,
                    "part " + offset + ".." + end + " lies outside the stream of " + total + " bytes");
        }
        if (end <= delivered()) {
            return;
        }
        if (offset <= delivered()) {
            pass(offset, bytes);
            drain();
        } else {
            keep(offset, bytes);
        }
    }

    /**
     * Takes the end mark.
     *
     * @param totalBytes length of the whole stream, in bytes
     * @throws MasticfoldException of kind {@link ErrorKind#PROTOCOL_VIOLATION} if the stream is already longer or was
     *     ended with another length
     */
    public void end(long totalBytes) throws MasticfoldException {
        boolean contradicts = total != NO_TOTAL && total != totalBytes;
        if (contradicts || totalBytes < highestByte()) {
            throw new MasticfoldException(
                    ErrorKind.PROTOCOL_VIOLATION,
                    "end at " + totalBytes + " contradicts " + highestByte() + " bytes received, end " + total);
        }
        total = totalBytes;
    }

    /** Forgets the parts behind a gap, which came from an attempt that was cut. */
    public void dropPending() {
        pending.clear();
        pendingBytes = 0;
    }

    /** Returns the number of bytes passed on; the offset at which another attempt resumes. */
    public long delivered() {
        return content.size();
    }

    /** Returns whether the end mark was taken and every byte has been passed on. */
    public boolean complete() {
        return total == delivered();
    }

    /** Returns the bytes passed on so far. */
    public Payload content() {
        return Payload.wrap(content.toByteArray());
    }

    private long highestByte() {
        return pending.entrySet().stream()
                .mapToLong(part -> part.getKey() + part.getValue().size())
                .reduce(delivered(), Math::max);
    }

    private void keep(long offset, Payload bytes) throws MasticfoldException {
        Payload known = pending.get(offset);
        int knownBytes = known == null ? 0 : known.size();
        if (bytes.size() <= knownBytes) {
            return;
        }
        if (pendingBytes - knownBytes + bytes.size() > MAX_PENDING_BYTES) {
            throw new MasticfoldException(
                    ErrorKind.QUEUE_FULL, "more than " + MAX_PENDING_BYTES + " bytes wait behind byte " + delivered());
        }
        pending.put(offset, bytes);
        pendingBytes += bytes.size() - knownBytes;
    }

    private void drain() {
        Map.Entry<Long, Payload> first = pending.firstEntry();
        while (first != null && first.getKey() <= delivered()) {
            pending.remove(first.getKey());
            pendingBytes -= first.getValue().size();
            if (first.getKey() + first.getValue().size() > delivered()) {
                pass(first.getKey(), first.getValue());
            }
            first = pending.firstEntry();
        }
    }

    private void pass(long offset, Payload bytes) {
        long start = delivered();
        int skip = (int) (start - offset);
        Payload fresh = skip == 0 ? bytes : Payload.wrap(Arrays.copyOfRange(bytes.unsafeBytes(), skip, bytes.size()));
        content.write(fresh.unsafeBytes(), 0, fresh.size());
        sink.chunk(start, fresh);
    }
}
