package io.masticfold.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits an event stream (server-sent events) into complete events. An event ends with an empty line; the bytes of an
 * incomplete event are buffered. Comments and empty lines that follow each other are joined, so that the number of
 * events does not grow with them. Not safe for use by several threads.
 */
public final class EventSplitter {

    /** Largest size of an event, in bytes. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a'};

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private int eventStart;
    private int lineStart;
    private long id = StreamEvent.NO_ID;
    private boolean data;

    /**
     * Reads the next bytes of the stream.
     *
     * @return the events that are complete and the bytes between them, in order
     * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
     */
    public List<StreamEvent> feed(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            add(next);
            if (next == '\n') {
                endLine(events);
            }
        }
        if (eventStart > 0) {
            emitFiller(events);
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

    private void endLine(List<StreamEvent> events) {
        int end = size - 1;
        if (end > lineStart && buffer[end - 1] == '\r') {
            end--;
        }
        if (end == lineStart) {
            endEvent(events);
        } else if (startsWith(ID_FIELD, end)) {
            id = parseId(lineStart + ID_FIELD.length, end);
        } else if (startsWith(DATA_FIELD, end)) {
            data = true;
        }
        lineStart = size;
    }

    private void endEvent(List<StreamEvent> events) {
        if (data || id != StreamEvent.NO_ID) {
            long eventId = id;
            if (eventStart > 0) {
                emitFiller(events);
            }
            events.add(StreamEvent.content(eventId, Arrays.copyOf(buffer, size)));
            size = 0;
        }
        eventStart = size;
        id = StreamEvent.NO_ID;
        data = false;
    }

    /** Emits what is buffered before the current event, and moves that to the start of the buffer. */
    private void emitFiller(List<StreamEvent> events) {
        events.add(StreamEvent.filler(Arrays.copyOf(buffer, eventStart)));
        System.arraycopy(buffer, eventStart, buffer, 0, size - eventStart);
        size -= eventStart;
        lineStart = Math.max(0, lineStart - eventStart);
        eventStart = 0;
    }

    private boolean startsWith(byte[] field, int lineEnd) {
        int end = lineStart + field.length;
        return end <= lineEnd && Arrays.equals(buffer, lineStart, end, field, 0, field.length);
    }

    private long parseId(int from, int to) {
        try {
            return Long.parseLong(new String(buffer, from, to - from, StandardCharsets.ISO_8859_1).trim());
        } catch (NumberFormatException e) {
            // A stream cannot resume after a non-numeric id, so the event is treated like one without an id.
            return StreamEvent.NO_ID;
        }
    }

    private void add(byte next) {
        if (size - eventStart >= MAX_EVENT_BYTES) {
            throw new IllegalStateException("event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, size * 2);
        }
        buffer[size++] = next;
    }
}
