package io.masticfold.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Answers one request of a caller. Calls after the caller has left have no effect. */
public interface CallerAnswer {

    /**
     * Sends a whole answer.
     *
     * @param status status code
     * @param headers headers without length and connection
     * @param body the whole body; ownership passes to this call
     */
    void send(int status, HttpHeaders headers, ByteBuf body);

    /** Starts an answer whose body follows in parts. */
    void start(int status, HttpHeaders headers);

    /** Sends a part of the body; ownership passes to this call. */
    void write(ByteBuf bytes);

    /** Ends the body. */
    void finish();

    /** Closes the connection, so that an answer that has been started does not look complete. */
    void abort();

    /** Returns whether the caller keeps up with what was written. */
    boolean writable();
}
