package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Represents the outcome of a call whose response is buffered in memory. */
public sealed interface CallResult {

    /**
     * A complete response.
     *
     * @param status status code
     * @param headers response headers
     * @param body complete body
     * @param firstOnConnection whether no earlier exchange used the connection
     * @param exchange the ended exchange; cancelling it closes the connection, if the response may not be its own
     */
    record Answered(int status, HttpHeaders headers, byte[] body, boolean firstOnConnection, Exchange exchange)
            implements CallResult {}

    /**
     * A call without a complete response.
     *
     * @param failure whether the request may have been sent
     * @param detail description for the log
     * @param silent whether the server neither answered nor ended the connection in time
     */
    record Failed(ExchangeFailure failure, String detail, boolean silent) implements CallResult {}
}
