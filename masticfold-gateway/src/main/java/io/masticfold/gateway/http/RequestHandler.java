package io.masticfold.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Serves requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Starts serving a request.
     *
     * @param request the request
     * @param response receives the response; the handler must complete or abort it exactly once
     * @return listener for events of the connection to the caller
     */
    CallerListener handle(CallerRequest request, CallerResponse response);

    /** Returns the workspace to which the memory of a request is attributed; empty if none is known. */
    default String workspace(HttpHeaders _headers) {
        return "";
    }

    /** Completes the response to a request whose body is not read, since the process holds too much for others. */
    default void rejectForMemory(CallerRequest _request, CallerResponse response) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.RETRY_AFTER, 1);
        response.send(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), headers, Unpooled.EMPTY_BUFFER);
    }
}
