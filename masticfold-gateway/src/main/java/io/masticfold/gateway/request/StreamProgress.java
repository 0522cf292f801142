package io.masticfold.gateway.request;

import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.CallerResponse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;

/** Tracks which events of a stream were forwarded to the caller, across all sends. Used by one thread. */
final class StreamProgress {

    private final CallerResponse callerResponse;
    private boolean started;
    private long lastEventId = StreamEvent.NO_ID;
    private int forwardedEvents;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    StreamProgress(CallerResponse callerResponse) {
        this.callerResponse = callerResponse;
    }

    /** Returns whether the response to the caller has been started. */
    boolean started() {
        return started;
    }

    /** Returns the id of the last forwarded event; {@link StreamEvent#NO_ID} if there is none. */
    long lastEventId() {
        return lastEventId;
    }

    int forwardedEvents() {
        return forwardedEvents;
    }

    /**
     * Accepts an event, unless it was forwarded before. It is written by the next {@link #flush}.
     *
     * @param event the event; bytes between two events are held back until an event starts the response
     * @return false if the event does not directly follow the last forwarded one
     */
    boolean accept(StreamEvent event) {
        if (event.id() != StreamEvent.NO_ID && lastEventId != StreamEvent.NO_ID) {
            if (event.id() <= lastEventId) {
                return true;
            }
            if (event.id() != lastEventId + 1) {
                return false;
            }
        }
        if (event.id() != StreamEvent.NO_ID) {
            lastEventId = event.id();
        }
        if (event.carriesContent()) {
            forwardedEvents++;
        }
        pending.writeBytes(event.bytes());
        return true;
    }

    /**
     * Writes the accepted events, and starts the response to the caller if there are any.
     *
     * @param status response status of the target; used if the response to the caller has not been started
     * @param headers response headers of the target; used like the status
     */
    void flush(int status, HttpHeaders headers) {
        if (forwardedEvents > 0 && pending.size() > 0) {
            start(status, headers);
        }
    }

    /** Discards the bytes of a send that has failed before its first event. */
    void discardPending() {
        pending.reset();
    }

    /** Starts the response to the caller unless it has been started, and writes what was accepted. */
    void start(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            callerResponse.start(status, HeaderSupport.endToEnd(headers, List.of()));
        }
        if (pending.size() > 0) {
            byte[] bytes = pending.toByteArray();
            pending.reset();
            callerResponse.write(Unpooled.wrappedBuffer(bytes));
        }
    }
}
