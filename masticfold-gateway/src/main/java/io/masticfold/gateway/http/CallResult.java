package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Represents the outcome of a call whose whole answer is kept in memory. */
public sealed interface CallResult {

    /**
     * A complete answer.
     *
     * @param status status code
     * @param headers headers of the answer
     * @param body the whole body
     * @param firstOnConnection whether no earlier exchange used the connection
     */
    record Answered(int status, HttpHeaders headers, byte[] body, boolean firstOnConnection) implements CallResult {}

    /**
     * No complete answer.
     *
     * @param failure how far the call had come
     * @param detail what happened, for the log
     */
    record Failed(ExchangeFailure failure, String detail) implements CallResult {}
}
