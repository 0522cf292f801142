package io.masticfold.gateway.request;

import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.CallerResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Tracks which events of a stream were forwarded to the caller, across all sends. Used by one thread. */
final class StreamProgress {

    private final CallerResponse callerResponse;
    private boolean started;
    private long lastEventId = StreamEvent.NO_ID;
    private int forwardedEvents;

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
     * Forwards an event, unless it was forwarded before.
     *
     * @param status response status of the target; used if the response to the caller has not been started
     * @param headers response headers of the target; used like the status
     * @return false if the event does not directly follow the last forwarded one
     */
    boolean forward(int status, HttpHeaders headers, StreamEvent event) {
        if (event.id() != StreamEvent.NO_ID && lastEventId != StreamEvent.NO_ID) {
            if (event.id() <= lastEventId) {
                return true;
            }
            if (event.id() != lastEventId + 1) {
                return false;
            }
        }
        start(status, headers);
        if (event.id() != StreamEvent.NO_ID) {
            lastEventId = event.id();
        }
        forwardedEvents++;
        ByteBuf bytes = Unpooled.wrappedBuffer(event.bytes());
        callerResponse.write(bytes);
        return true;
    }

    /** Starts the response to the caller unless it has been started. */
    void start(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            callerResponse.start(status, HeaderSupport.endToEnd(headers, List.of()));
        }
    }
}
