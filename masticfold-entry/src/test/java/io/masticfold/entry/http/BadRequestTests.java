package io.masticfold.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.RoutingServlet;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.limit.ContractAdmission;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.PipelineService;
import io.masticfold.core.pipeline.RunningRequest;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;
import io.masticfold.platform.http.EventloopScheduler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that invalid requests are rejected with the right error kind and never reach a pipeline. */
class BadRequestTests {

    private static final String KEY = "Bearer caller-key";
    private static final int MAX_BODY_BYTES = 64;

    private final AtomicInteger runs = new AtomicInteger();

    static Stream<Arguments> requests() {
        return Stream.of(
                request("read", Map.of("Authorization", KEY), "{\"a\":1}", 200, ""),
                request("pay", Map.of("Authorization", KEY, "Idempotency-Key", "k1"), "{}", 200, ""),
                request("read", Map.of(), "{}", 401, "unauthenticated"),
                request("read", Map.of("Authorization", "Bearer wrong"), "{}", 401, "unauthenticated"),
                request("read", Map.of("Authorization", "Basic eA=="), "{}", 401, "unauthenticated"),
                request("read", Map.of("Authorization", KEY, "X-Workspace", "other"), "{}", 403, "unknown_workspace"),
                request("none", Map.of("Authorization", KEY), "{}", 404, "unknown_pipeline"),
                request("pay", Map.of("Authorization", KEY), "{}", 400, "idempotency_key_missing"),
                request("read", Map.of("Authorization", KEY), "{\"a\":", 400, "malformed_request"),
                request("read", Map.of("Authorization", KEY), "[1]", 400, "malformed_request"),
                request("read", Map.of("Authorization", KEY), "{} {}", 400, "malformed_request"),
                request("read", Map.of("Authorization", KEY), "", 400, "malformed_request"),
                request("read", Map.of("Authorization", KEY, "Deadline-Ms", "soon"), "{}", 400, "malformed_request"),
                request("read", Map.of("Authorization", KEY, "Deadline-Ms", "0"), "{}", 504, "deadline_expired"),
                request("read", Map.of("Authorization", KEY, "Deadline-Ms", "-5"), "{}", 504, "deadline_expired"),
                request(
                        "read",
                        Map.of("Authorization", KEY),
                        "{\"a\":\"" + "x".repeat(64) + "\"}",
                        413,
                        "body_too_large"));
    }

    private static Arguments request(
            String pipeline, Map<String, String> headers, String body, int status, String kind) {
        return Arguments.of(pipeline, headers, body, status, kind);
    }

    @ParameterizedTest
    @MethodSource("requests")
    void invalidRequestsAreRejectedWithErrorKindAndNeverRun(
            String pipeline, Map<String, String> headers, String body, int status, String kind)
            throws IOException, InterruptedException, ExecutionException {
        HttpRequest.Builder request = HttpRequest.post("http://127.0.0.1/v1/pipelines/" + pipeline)
                .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()))
                .withBody(body);
        headers.forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));

        Response response = send(request);

        assertThat(response.status()).isEqualTo(status);
        JsonNode json = new ObjectMapper().readTree(response.body());
        assertThat(json.path("requestId").asText()).isNotEmpty();
        assertThat(json.path("error").path("kind").asText()).isEqualTo(kind);
        if (status != 200) {
            assertThat(json.path("error").path("ran").asText()).isEqualTo("no");
        }
        assertThat(runs.get()).isEqualTo(status == 200 ? 1 : 0);
    }

    private Response send(HttpRequest.Builder request) throws InterruptedException, ExecutionException {
        Eventloop loop = Eventloop.builder().withThreadName("bad-requests").build();
        CompletableFuture<Response> future =
                loop.submit(() -> servlet(loop).serve(request.build()).then(response -> response.loadBody()
                        .map(buf -> new Response(response.getCode(), buf.getString(StandardCharsets.UTF_8)))));
        loop.run();
        return future.get();
    }

    private RoutingServlet servlet(Eventloop loop) {
        EventloopScheduler scheduler = new EventloopScheduler(loop, TimeSource.system());
        PipelineService service = (_request, _scheduler, listener) -> {
            runs.incrementAndGet();
            listener.completed(new PipelineResult(Payload.ofUtf8("{\"ok\":true}"), List.of()));
            return new CompletedRequest();
        };
        PipelineServlet servlet = new PipelineServlet(
                service,
                new ContractAdmission(scheduler, Contract::requestsPerSecond),
                BadRequestTests::config,
                new EntryLifecycle(),
                new Attainment(),
                Telemetry.NONE,
                scheduler);
        return RoutingServlet.builder(loop)
                .with(HttpMethod.POST, "/v1/pipelines/:pipeline", servlet)
                .build();
    }

    private static ConfigSnapshot config() {
        Contract contract = new Contract(
                "shop",
                "shop",
                Payload.ofUtf8("caller-key").sha256(),
                1_000,
                1,
                5,
                1_000,
                1_000,
                100,
                List.of("read", "pay"));
        Stage read = new Stage("read", "pool", true, 1, 1, false);
        Stage pay = new Stage("pay", "pool", false, 1, 1, false);
        return ConfigSnapshot.EMPTY.merge(List.of(
                object(contract, 1),
                object(new Pipeline("read", List.of(read), MAX_BODY_BYTES), 2),
                object(new Pipeline("pay", List.of(pay), MAX_BODY_BYTES), 3)));
    }

    private static ConfigObject object(ConfigSpec spec, long version) {
        return new ConfigObject(new ObjectKey(spec.kind(), spec.name()), version, "change-" + version, spec);
    }

    private record Response(int status, String body) {}

    private record CompletedRequest() implements RunningRequest {

        @Override
        public void cancel() {}

        @Override
        public void consumed(int _bytes) {}
    }
}
