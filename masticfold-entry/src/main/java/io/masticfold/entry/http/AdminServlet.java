package io.masticfold.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Creates the servlet of the admin interface, which serves health checks, metrics and status. */
public final class AdminServlet {

    private AdminServlet() {}

    /**
     * Creates the servlet.
     *
     * @param reactor event loop of the admin server
     * @param lifecycle lifecycle of the entry, which decides readiness
     * @param configured whether a configuration has been received
     * @param metrics supplies the metrics in the Prometheus text format
     * @param status supplies the status document
     */
    public static AsyncServlet create(
            Reactor reactor,
            EntryLifecycle lifecycle,
            BooleanSupplier configured,
            Supplier<String> metrics,
            Supplier<JsonNode> status) {
        return RoutingServlet.builder(reactor)
                .with(HttpMethod.GET, "/health/live", _request -> text(200, "live"))
                .with(HttpMethod.GET, "/health/ready", _request -> ready(lifecycle, configured))
                .with(HttpMethod.GET, "/metrics", _request -> text(200, metrics.get()))
                .with(HttpMethod.GET, "/status", _request -> ResponseWriter.jsonResponse(200, status.get())
                        .toPromise())
                .build();
    }

    private static Promise<HttpResponse> ready(EntryLifecycle lifecycle, BooleanSupplier configured) {
        if (!lifecycle.phase().ready()) {
            return text(503, lifecycle.phase().name().toLowerCase(Locale.ROOT));
        }
        return configured.getAsBoolean() ? text(200, "ready") : text(503, "no configuration");
    }

    private static Promise<HttpResponse> text(int status, String text) {
        return HttpResponse.ofCode(status).withPlainText(text).toPromise();
    }
}
