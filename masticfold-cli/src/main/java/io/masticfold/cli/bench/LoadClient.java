package io.masticfold.cli.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.platform.http.NumericDnsClient;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;

/** Sends a schedule to the entries in turn and records the answers. Runs on one event loop. */
final class LoadClient {

    /** Pipeline name of requests that go straight to a target instead of an entry. */
    static final String DIRECT = "direct";

    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    private static final String BODY = "{\"question\":\"bench\",\"operation\":\"op-%d\"}";
    private static final Duration IO_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration END_MARGIN = Duration.ofSeconds(12);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK_STATUS = 200;

    private final List<InetSocketAddress> entries;
    private final Eventloop eventloop =
            Eventloop.builder().withThreadName("bench-client").build();
    private final List<RequestRecord> records = new ArrayList<>();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final HttpClient client;
    private long startNanos;
    private int pending;

    LoadClient(List<InetSocketAddress> entries) {
        this.entries = List.copyOf(entries);
        this.client = HttpClient.builder(eventloop, new NumericDnsClient())
                .withConnectTimeout(Duration.ofSeconds(2))
                .withReadWriteTimeout(IO_TIMEOUT)
                .withKeepAliveTimeout(Duration.ofSeconds(5))
                .build();
    }

    /**
     * Sends all requests at their times and waits for their answers.
     *
     * @param requests the schedule
     * @param onStart runs when the schedule starts, with the start time in nanoseconds
     */
    List<RequestRecord> run(List<BenchRequest> requests, LongConsumer onStart) throws InterruptedException {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "bench-client");
        thread.start();
        pending = requests.size();
        eventloop.execute(() -> {
            startNanos = System.nanoTime();
            onStart.accept(startNanos);
            pump(requests, 0);
        });
        long lengthNanos =
                requests.isEmpty() ? 0 : requests.get(requests.size() - 1).atNanos();
        try {
            done.get(lengthNanos + END_MARGIN.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException _e) {
            // The requests without an answer are missing from the records and counted by the report.
        }
        eventloop.execute(() -> {
            client.stop();
            eventloop.keepAlive(false);
            eventloop.breakEventloop();
        });
        thread.join(TimeUnit.SECONDS.toMillis(5));
        return List.copyOf(records);
    }

    /** Sends every request that is due and comes back for the next; one timer serves the whole schedule. */
    private void pump(List<BenchRequest> requests, int from) {
        int next = from;
        long now = System.nanoTime() - startNanos;
        while (next < requests.size() && requests.get(next).atNanos() <= now) {
            send(requests.get(next));
            next++;
        }
        if (next < requests.size()) {
            int index = next;
            eventloop.delay(Duration.ofMillis(1), () -> pump(requests, index));
        }
    }

    private void send(BenchRequest request) {
        InetSocketAddress entry = entries.get(request.number() % entries.size());
        boolean direct = request.pipeline().equals(DIRECT);
        String path = direct ? "/v1/run" : "/v1/pipelines/" + request.pipeline();
        HttpRequest.Builder http = HttpRequest.post("http://127.0.0.1:" + entry.getPort() + path)
                .withHeader(
                        HttpHeaders.AUTHORIZATION,
                        "Bearer " + request.workspace().key())
                .withHeader(HttpHeaders.ACCEPT, request.streamed() ? "text/event-stream" : "application/json")
                .withBody(String.format(Locale.ROOT, BODY, request.number()).getBytes(StandardCharsets.UTF_8));
        if (direct) {
            http.withHeader(HttpHeaders.of("X-Attempt-Id"), "bench:" + request.number());
            http.withHeader(HttpHeaders.of("X-Request-Id"), "bench-" + request.number());
        }
        if (!request.idempotent()) {
            http.withHeader(IDEMPOTENCY_KEY, "bench-" + request.number());
        }
        client.request(http.build()).then(response -> read(request, response)).subscribe((record, failure) -> {
            records.add(failure == null ? record : lost(request));
            pending--;
            if (pending == 0) {
                done.complete(null);
            }
        });
    }

    private Promise<RequestRecord> read(BenchRequest request, HttpResponse response) {
        long firstByte = since(request);
        boolean stream = response.getCode() == OK_STATUS && request.streamed();
        return response.loadBody()
                .map(body ->
                        record(request, body.getString(StandardCharsets.UTF_8), response.getCode(), stream, firstByte));
    }

    private RequestRecord record(BenchRequest request, String body, int status, boolean stream, long firstByte) {
        if (status == OK_STATUS && !stream) {
            return new RequestRecord(request, RequestRecord.OK, "", firstByte, since(request));
        }
        if (stream && body.contains("event: end\n")) {
            return new RequestRecord(request, RequestRecord.OK, "", firstByte, since(request));
        }
        JsonNode error = error(body);
        return new RequestRecord(
                request,
                error.path("kind").asText("lost"),
                error.path("ran").asText("unknown"),
                firstByte,
                since(request));
    }

    private static JsonNode error(String body) {
        int start = body.lastIndexOf("{\"requestId\"");
        try {
            return JSON.readTree(body.substring(Math.max(0, start))).path("error");
        } catch (JsonProcessingException _e) {
            return JSON.createObjectNode();
        }
    }

    private RequestRecord lost(BenchRequest request) {
        return new RequestRecord(request, "lost", "unknown", since(request), since(request));
    }

    private long since(BenchRequest request) {
        return System.nanoTime() - startNanos - request.atNanos();
    }
}
