package io.masticfold.agent;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Creates the servlet of the admin interface, which serves health checks, metrics and status. */
final class AgentAdminServlet {

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private AgentAdminServlet() {}

    /**
     * Creates the servlet.
     *
     * @param reactor event loop of the admin server
     * @param ready whether the agent accepts new attempts
     * @param metrics supplies the metrics in the Prometheus text format
     * @param status supplies the status document
     */
    static AsyncServlet create(
            Reactor reactor, BooleanSupplier ready, Supplier<String> metrics, Supplier<JsonNode> status) {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/health/live", _request -> response(OK, "text/plain", "live"))
                .with(HttpMethod.GET, "/health/ready", _request -> readinessResponse(ready.getAsBoolean()))
                .with(HttpMethod.GET, "/metrics", _request -> response(OK, "text/plain; version=0.0.4", metrics.get()))
                .with(
                        HttpMethod.GET,
                        "/status",
                        _request ->
                                response(OK, "application/json", status.get().toString()))
                .build();
    }

    private static Promise<HttpResponse> readinessResponse(boolean ready) {
        return ready ? response(OK, "text/plain", "ready") : response(SERVICE_UNAVAILABLE, "text/plain", "not ready");
    }

    private static Promise<HttpResponse> response(int code, String contentType, String body) {
        return HttpResponse.ofCode(code)
                .withHeader(HttpHeaders.CONTENT_TYPE, contentType)
                .withBody(body)
                .toPromise();
    }
}
