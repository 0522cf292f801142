package io.masticfold.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request of a caller. Calls have no effect once the caller has disconnected. */
public interface CallerResponse {

    /**
     * Sends a complete response.
     *
     * @param status status code
     * @param headers headers without {@code Content-Length} and {@code Connection}, which are added
     * @param body complete body; ownership of the buffer passes to this method
     */
    void send(int status, HttpHeaders headers, ByteBuf body);

    /** Starts a response whose body follows in chunks. */
    void start(int status, HttpHeaders headers);

    /** Sends a chunk of the body; ownership of the buffer passes to this method. */
    void write(ByteBuf bytes);

    /** Ends the body of a started response. */
    void finish();

    /** Resets the connection, so that the caller does not take a started response for complete. */
    void abort();

    /** Returns whether more can be written without exceeding the write buffer of the connection. */
    boolean writable();
}
