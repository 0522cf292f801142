package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Holds a complete request of a caller.
 *
 * @param method request method
 * @param uri path and query as received, decoded as UTF-8
 * @param headers headers as received
 * @param body complete body; must not be modified
 * @param receivedNanos monotonic time at which the request line and headers were read
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long receivedNanos) {

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
