package io.masticfold.gateway.request;

import io.masticfold.core.stream.EventSplitter;
import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.ResponseMemory;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads the events of one send's response and passes them on to the caller. All bytes that arrive together are split
 * and written at once, so that the work does not grow with the number of pieces in which they arrive. Used by one
 * thread.
 */
final class StreamBody {

    /** Maximum size of the comments and empty lines between two events, in bytes; a keep-alive comment has a few. */
    static final int MAX_FILLER_BYTES = 64 * 1024;

    private final ResponseMemory memory;
    private final StreamProgress progress;
    private final IntConsumer onEvent;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream unread = new ByteArrayOutputStream();
    private int events;
    private int fillerBytes;
    private long reservedBytes;

    /**
     * Creates a reader.
     *
     * @param memory limit of all buffered responses, for incomplete events
     * @param progress forwarded events of the request's stream
     * @param onEvent called for each event with its number in this response, from 1
     */
    StreamBody(ResponseMemory memory, StreamProgress progress, IntConsumer onEvent) {
        this.memory = memory;
        this.progress = progress;
        this.onEvent = onEvent;
    }

    /** Appends bytes of the body; they are passed on by the next {@link #forward}. */
    void append(ByteBuf bytes) {
        byte[] chunk = new byte[bytes.readableBytes()];
        bytes.getBytes(bytes.readerIndex(), chunk);
        unread.writeBytes(chunk);
    }

    /**
     * Passes on the events of the bytes appended so far.
     *
     * @param head head of the response
     * @return why the stream cannot go on; null if it can
     */
    @Nullable
    String forward(HttpResponse head) {
        if (unread.size() == 0) {
            return null;
        }
        byte[] bytes = unread.toByteArray();
        unread.reset();
        String problem = accept(bytes);
        progress.flush(head.status().code(), head.headers());
        return problem;
    }

    private @Nullable String accept(byte[] bytes) {
        int before = splitter.incompleteBytes();
        List<StreamEvent> complete;
        try {
            complete = splitter.feed(bytes);
        } catch (IllegalStateException e) {
            return String.valueOf(e.getMessage());
        }
        if (!reserveIncomplete(before)) {
            return "stream is too large to be buffered";
        }
        for (StreamEvent event : complete) {
            if (!progress.accept(event)) {
                return "event " + event.id() + " does not follow " + progress.lastEventId();
            }
            if (event.carriesContent()) {
                fillerBytes = 0;
                events++;
                onEvent.accept(events);
            } else {
                fillerBytes += event.bytes().length;
            }
        }
        return fillerBytes > MAX_FILLER_BYTES ? fillerBytes + " bytes without an event" : null;
    }

    private boolean reserveIncomplete(int before) {
        int growth = splitter.incompleteBytes() - before;
        if (growth > 0 && !memory.reserve(growth)) {
            return false;
        }
        if (growth < 0) {
            memory.release(-growth);
        }
        reservedBytes += growth;
        return true;
    }

    /** Returns the number of events read. */
    int events() {
        return events;
    }

    /** Returns whether the body ends within an event. */
    boolean endsWithinEvent() {
        return splitter.hasIncompleteEvent();
    }

    /** Returns the reserved memory. Nothing may be appended afterwards. */
    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }
}
