package io.masticfold.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Holds a whole answer of a target.
 *
 * @param status status code
 * @param headers headers as received
 * @param body the whole body
 */
record TargetAnswer(int status, HttpHeaders headers, byte[] body) {

    /** Returns whether the request succeeded. */
    boolean success() {
        return status >= 200 && status < 300;
    }
}
