package io.masticfold.gateway.http;

/** Serves requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Starts to serve a request.
     *
     * @param request the request
     * @param answer takes the answer; the handler answers exactly once or aborts
     * @return hears when the caller leaves
     */
    CallerListener handle(CallerRequest request, CallerAnswer answer);
}
