package io.masticfold.gateway.http;

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
}
