package io.masticfold.gateway.request;

import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.CallerAnswer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Tracks which events of a stream the caller has been sent, over all sends of the request. Used by one thread. */
final class StreamProgress {

    private final CallerAnswer answer;
    private boolean started;
    private long lastId = StreamEvent.NO_ID;
    private int events;

    StreamProgress(CallerAnswer answer) {
        this.answer = answer;
    }

    /** Returns whether the caller has been sent an event. */
    boolean started() {
        return started;
    }

    /** Returns the id of the last event sent; {@link StreamEvent#NO_ID} before the first. */
    long lastId() {
        return lastId;
    }

    int events() {
        return events;
    }

    /**
     * Passes an event on, unless the caller has it.
     *
     * @param status status of the target that produced the event; used if it is the first
     * @param headers headers of that target; used if it is the first
     * @return false if an event before this one is missing
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

    /** Starts the answer if that has not been done. */
    void start(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            answer.start(status, HeaderSupport.endToEnd(headers, List.of()));
        }
    }
}
