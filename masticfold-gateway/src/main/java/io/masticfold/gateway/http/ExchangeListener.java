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
     * Receives a part of the body.
     *
     * @param bytes the part; valid only during the call
     */
    void content(ByteBuf bytes);

    /** Receives the complete end of the body. */
    void end();

    /**
     * Receives the failure of the exchange.
     *
     * @param failure how far the exchange had come
     * @param detail what happened, for the log
     */
    void failed(ExchangeFailure failure, String detail);
}
