package io.masticfold.core.stream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts the bytes of an event stream into whole events. An event ends with an empty line; bytes of an event that has not
 * ended are held back. Used by one thread.
 */
public final class EventSplitter {

    /** Largest event that is held back, in bytes. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int INITIAL_BYTES = 512;

    private byte[] held = new byte[INITIAL_BYTES];
    private int size;
    private int lineStart;

    /**
     * Takes further bytes of the stream.
     *
     * @return the events that have ended, in order
     * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
     */
    public List<StreamEvent> feed(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            add(next);
            if (next == '\n') {
                if (emptyLine()) {
                    events.add(StreamEvent.parse(Arrays.copyOf(held, size)));
                    size = 0;
                    lineStart = 0;
                } else {
                    lineStart = size;
                }
            }
        }
        return events;
    }

    /** Returns whether part of an event is held back. */
    public boolean holdsPart() {
        return size > 0;
    }

    private boolean emptyLine() {
        int length = size - lineStart;
        return length == 1 || (length == 2 && held[lineStart] == '\r');
    }

    private void add(byte next) {
        if (size == held.length) {
            if (size >= MAX_EVENT_BYTES) {
                throw new IllegalStateException("event is larger than " + MAX_EVENT_BYTES + " bytes");
            }
            held = Arrays.copyOf(held, size * 2);
        }
        held[size++] = next;
    }
}
