package io.masticfold.gateway.request;

import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.http.CallerResponse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Tracks which events of a stream were forwarded to the caller, across all sends. Used by one thread. */
final class StreamProgress {

    private final CallerResponse callerResponse;
    private boolean started;
    private long lastEventId;
    private int forwardedEvents;
    private int eventsOfSend;
    private boolean continues;
    private String mediaType = "";
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /**
     * Creates the progress of a stream.
     *
     * @param lastEventId last event that the caller has from an earlier attempt; {@link StreamEvent#NO_ID} if none
     */
    StreamProgress(CallerResponse callerResponse, long lastEventId) {
        this.callerResponse = callerResponse;
        this.lastEventId = lastEventId;
    }

    /** Prepares for the response to a next send, which continues the stream if events have been forwarded. */
    void sendBegins() {
        pending.reset();
        eventsOfSend = 0;
        continues = started;
    }

    /**
     * Returns why the response to the current send cannot be a part of this stream by its head; null if it can.
     */
    @Nullable
    String problem(HttpResponse head) {
        String type = mediaType(head.headers());
        return continues && !type.equals(mediaType)
                ? "content type " + type + " does not continue a stream of " + mediaType
                : null;
    }

    /**
     * Returns why the response to the current send does not end the stream, although it is complete; null if it does. A
     * continuation without an event does not tell a stream that had ended from one that is missing.
     */
    @Nullable
    String problemAtEnd(HttpResponse head) {
        boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        // Without a length or chunks, a stream that was broken off before its first event ends like a whole one.
        return eventsOfSend == 0 && (continues || !framed) ? "stream ended before its first event" : null;
    }

    private static String mediaType(HttpHeaders headers) {
        CharSequence type = HttpUtil.getMimeType(headers.get(HttpHeaderNames.CONTENT_TYPE, ""));
        return type == null ? "" : type.toString().toLowerCase(Locale.ROOT);
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
     * @return false if the event does not directly follow the last forwarded one; the first event of a continuation
     *     must have an id, which shows that it does
     */
    boolean accept(StreamEvent event) {
        if (continues && eventsOfSend == 0 && event.carriesContent() && event.id() == StreamEvent.NO_ID) {
            return false;
        }
        if (event.id() != StreamEvent.NO_ID && lastEventId != StreamEvent.NO_ID) {
            if (event.id() <= lastEventId) {
                eventsOfSend++;
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
            eventsOfSend++;
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

    /** Starts the response to the caller unless it has been started, and writes what was accepted. */
    void start(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            mediaType = mediaType(headers);
            callerResponse.start(status, HeaderSupport.endToEnd(headers, List.of()));
        }
        if (pending.size() > 0) {
            byte[] bytes = pending.toByteArray();
            pending.reset();
            callerResponse.write(Unpooled.wrappedBuffer(bytes));
        }
    }
}
