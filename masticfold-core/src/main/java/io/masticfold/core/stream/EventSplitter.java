package io.masticfold.core.stream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits an event stream (server-sent events) into complete events. An event ends with an empty line; the bytes of an
 * incomplete event are buffered. Not safe for use by several threads.
 */
public final class EventSplitter {

    /** Largest size of an event, in bytes. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 512;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private int lineStart;

    /**
     * Reads the next bytes of the stream.
     *
     * @return the events that are complete, in order
     * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
     */
    public List<StreamEvent> feed(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            add(next);
            if (next == '\n') {
                if (emptyLine()) {
                    events.add(StreamEvent.parse(Arrays.copyOf(buffer, size)));
                    size = 0;
                    lineStart = 0;
                } else {
                    lineStart = size;
                }
            }
        }
        return events;
    }

    /** Returns whether an incomplete event is buffered. */
    public boolean hasIncompleteEvent() {
        return size > 0;
    }

    /** Returns the size of the incomplete event that is buffered, in bytes. */
    public int incompleteBytes() {
        return size;
    }

    private boolean emptyLine() {
        int length = size - lineStart;
        return length == 1 || (length == 2 && buffer[lineStart] == '\r');
    }

    private void add(byte next) {
        if (size == buffer.length) {
            if (size >= MAX_EVENT_BYTES) {
                throw new IllegalStateException("event is larger than " + MAX_EVENT_BYTES + " bytes");
            }
            buffer = Arrays.copyOf(buffer, size * 2);
        }
        buffer[size++] = next;
    }
}
