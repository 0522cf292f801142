package io.masticfold.platform.http;

import io.activej.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to a numeric address.
 *
 * @param method HTTP method
 * @param address numeric address of the server
 * @param pathAndQuery path and query, starting with a slash
 * @param headers header values by header name
 * @param body request body, null for none
 */
public record HttpCall(
        HttpMethod method,
        InetSocketAddress address,
        String pathAndQuery,
        Map<String, String> headers,
        @Nullable String body) {

    /** Copies the headers. */
    public HttpCall {
        headers = Map.copyOf(headers);
    }

    /** Creates a GET request. */
    public static HttpCall get(InetSocketAddress address, String pathAndQuery) {
        return new HttpCall(HttpMethod.GET, address, pathAndQuery, Map.of(), null);
    }

    @Override
    public String toString() {
        return method + " " + pathAndQuery;
    }
}
