package io.masticfold.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of an exchange, on the event loop. Nothing follows {@link #end} or {@link #failed}. */
public interface ExchangeListener {

    /**
     * Receives the status line and the headers.
     *
     * @param response status and headers
     * @param firstOnConnection whether no earlier exchange used the connection
     */
    void head(HttpResponse response, boolean firstOnConnection);

    /**
     * Receives a chunk of the body.
     *
     * @param bytes the chunk; valid only during the call
     */
    void content(ByteBuf bytes);

    /** Called when everything that one read brought has been passed on, unless the exchange has ended. */
    void readComplete();

    /** Called when the response is complete. */
    void end();

    /**
     * Called when the exchange has failed.
     *
     * @param failure whether the request may have been sent
     * @param detail description for the log
     */
    void failed(ExchangeFailure failure, String detail);
}
