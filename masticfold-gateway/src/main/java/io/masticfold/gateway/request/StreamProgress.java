package io.masticfold.gateway.request;

import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.CallerAnswer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Tracks which events of a stream were forwarded to the caller, across all sends. Used by one thread. */
final class StreamProgress {

    private final CallerAnswer answer;
    private boolean started;
    private long lastId = StreamEvent.NO_ID;
    private int events;

    StreamProgress(CallerAnswer answer) {
        this.answer = answer;
    }

    /** Returns whether the response to the caller has been started. */
    boolean started() {
        return started;
    }

    /** Returns the id of the last forwarded event; {@link StreamEvent#NO_ID} if there is none. */
    long lastId() {
        return lastId;
    }

    int events() {
        return events;
    }

    /**
     * Forwards an event, unless it was forwarded before.
     *
     * @param status response status of the target; used if the response to the caller has not been started
     * @param headers response headers of the target; used like the status
     * @return false if the event does not directly follow the last forwarded one
     */
    boolean pass(int status, HttpHeaders headers, StreamEvent event) {
        if (event.id() != StreamEvent.NO_ID && lastId != StreamEvent.NO_ID) {
            if (event.id() <= lastId) {
                return true;
            }
            if (event.id() != lastId + 1) {
                return false;
            }
        }
        start(status, headers);
        if (event.id() != StreamEvent.NO_ID) {
            lastId = event.id();
        }
        events++;
        ByteBuf bytes = Unpooled.wrappedBuffer(event.bytes());
        answer.write(bytes);
        return true;
    }

    /** Starts the response to the caller unless it has been started. */
    void start(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            answer.start(status, HeaderSupport.endToEnd(headers, List.of()));
        }
    }
}
