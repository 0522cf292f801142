package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Holds a complete request of a caller.
 *
 * @param method method as sent
 * @param uri path and query as sent
 * @param headers headers as sent
 * @param body the whole body; never changed
 * @param receivedNanos monotonic time at which its head was read
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long receivedNanos) {

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
