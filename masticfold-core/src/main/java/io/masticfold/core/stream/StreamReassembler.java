package io.masticfold.core.stream;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reassembles a stream from parts that may arrive out of order, duplicated or overlapping; each byte is delivered once.
 * The stream is complete only after an end marker has given its length and every byte up to it has been delivered, so
 * that a truncated stream is never mistaken for a complete one. Not safe for use by several threads at a time.
 */
public final class StreamReassembler {

    /** Largest number of bytes buffered behind a gap. */
    public static final int MAX_PENDING_BYTES = 256 * 1024;

    /** Largest size of a stream, in bytes, since the whole answer is held in memory. */
    public static final int MAX_STREAM_BYTES = 16 * 1024 * 1024;

    private static final long NO_TOTAL = -1;

    private final ChunkSink sink;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final TreeMap<Long, Payload> pending = new TreeMap<>();
    private int pendingBytes;
    private long total = NO_TOTAL;

    /**
     * Creates a reassembler for an empty stream.
     *
     * @param sink receives the bytes in order
     */
    public StreamReassembler(ChunkSink sink) {
        this.sink = sink;
    }

    /**
     * Adds a part of the stream.
     *
     * @param offset offset of the part within the stream, in bytes
     * @param bytes bytes of the part
     * @throws MasticfoldException of kind {@link ErrorKind#PROTOCOL_VIOLATION} if the part lies outside the stream, and
     *     of kind {@link ErrorKind#QUEUE_FULL} if more than {@link #MAX_PENDING_BYTES} would be buffered behind a gap
     */
    public void addPart(long offset, Payload bytes) throws MasticfoldException {
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
            deliver(offset, bytes);
            deliverPending();
        } else {
            buffer(offset, bytes);
        }
    }

    /**
     * Marks the end of the stream.
     *
     * @param totalBytes length of the complete stream, in bytes
     * @throws MasticfoldException of kind {@link ErrorKind#PROTOCOL_VIOLATION} if the stream is already longer or was
     *     ended at another length
     */
    public void end(long totalBytes) throws MasticfoldException {
        boolean contradicts = total != NO_TOTAL && total != totalBytes;
        if (contradicts || totalBytes < receivedEnd()) {
            throw new MasticfoldException(
                    ErrorKind.PROTOCOL_VIOLATION,
                    "end at " + totalBytes + " contradicts " + receivedEnd() + " bytes received, end " + total);
        }
        total = totalBytes;
    }

    /** Discards the parts behind a gap, which came from an interrupted attempt. */
    public void dropPending() {
        pending.clear();
        pendingBytes = 0;
    }

    /** Returns the number of delivered bytes, which is the offset at which another attempt resumes. */
    public long delivered() {
        return content.size();
    }

    /** Returns whether the end is known and every byte has been delivered. */
    public boolean complete() {
        return total == delivered();
    }

    /** Returns the bytes delivered so far. */
    public Payload content() {
        return Payload.wrap(content.toByteArray());
    }

    private long receivedEnd() {
        return pending.entrySet().stream()
                .mapToLong(part -> part.getKey() + part.getValue().size())
                .reduce(delivered(), Math::max);
    }

    private void buffer(long offset, Payload bytes) throws MasticfoldException {
        Payload buffered = pending.get(offset);
        int bufferedBytes = buffered == null ? 0 : buffered.size();
        if (bytes.size() <= bufferedBytes) {
            return;
        }
        if (pendingBytes - bufferedBytes + bytes.size() > MAX_PENDING_BYTES) {
            throw new MasticfoldException(
                    ErrorKind.QUEUE_FULL, "more than " + MAX_PENDING_BYTES + " bytes wait behind byte " + delivered());
        }
        pending.put(offset, bytes);
        pendingBytes += bytes.size() - bufferedBytes;
    }

    private void deliverPending() {
        Map.Entry<Long, Payload> first = pending.firstEntry();
        while (first != null && first.getKey() <= delivered()) {
            pending.remove(first.getKey());
            pendingBytes -= first.getValue().size();
            if (first.getKey() + first.getValue().size() > delivered()) {
                deliver(first.getKey(), first.getValue());
            }
            first = pending.firstEntry();
        }
    }

    private void deliver(long offset, Payload bytes) {
        long start = delivered();
        int skip = (int) (start - offset);
        Payload fresh = skip == 0 ? bytes : Payload.wrap(Arrays.copyOfRange(bytes.unsafeBytes(), skip, bytes.size()));
        content.write(fresh.unsafeBytes(), 0, fresh.size());
        sink.chunk(start, fresh);
    }
}
