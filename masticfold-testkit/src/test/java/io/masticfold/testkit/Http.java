package io.masticfold.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticfold.testkit.http.StandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/** Calls a stand-in over HTTP. */
public final class Http {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandIn standIn;

    /** Creates a client of a stand-in. */
    public Http(StandIn standIn) {
        this.standIn = standIn;
    }

    /** Sends a request and waits for the whole answer. */
    public HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request. */
    public CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String path, String body, String... headers) {
        return client.sendAsync(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    /** Parses the body of an answer. */
    public static JsonNode json(HttpResponse<String> response) throws IOException {
        return MAPPER.readTree(response.body());
    }

    /** Repeats a call while its connection fails, for at most ten seconds. */
    public static HttpResponse<String> untilAnswered(Callable<HttpResponse<String>> call) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (true) {
            try {
                return call.call();
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
            }
        }
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + standIn.hostPort() + path))
                .timeout(TIMEOUT)
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        return (headers.length == 0 ? builder : builder.headers(headers)).build();
    }
}
