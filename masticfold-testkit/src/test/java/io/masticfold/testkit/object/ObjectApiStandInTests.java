package io.masticfold.testkit.object;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.testkit.Http;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ObjectApiStandInTests {

    private static final String PATH = "/v1/objects/zone/ar-centro-a";
    private static final String CHANGE = "{\"changeId\":\"c1\",\"spec\":{\"state\":\"in\"}}";

    private final ObjectApiStandIn api = new ObjectApiStandIn(new InetSocketAddress("127.0.0.1", 0));
    private Http http;

    @BeforeEach
    void start() throws IOException {
        api.start();
        http = new Http(api);
    }

    @AfterEach
    void stop() {
        api.stop();
    }

    /** Guards against a store that lets two writers with the same expected version both win. */
    @ParameterizedTest
    @CsvSource({"0, 409", "1, 200", "2, 409"})
    void writesOnlyTheExpectedVersion(long expected, int status) throws Exception {
        assertThat(put(PATH, 0, CHANGE).statusCode()).isEqualTo(200);
        HttpResponse<String> second = put(PATH, expected, CHANGE.replace("c1", "c2"));
        assertThat(second.statusCode()).isEqualTo(status);
        if (status == 409) {
            assertThat(Http.json(second).get("changeId").textValue()).isEqualTo("c1");
        }
    }

    /** Guards against names of claims, which hold dots and dashes, being cut or refused in paths. */
    @Test
    void readsBackNamesWithDotsAndDashes() throws Exception {
        String path = "/v1/objects/claim/workspace-1.0a9f.grower-payment";
        put(path, 0, CHANGE);
        JsonNode envelope = Http.json(http.send("GET", path, ""));
        assertThat(envelope.get("name").textValue()).isEqualTo("workspace-1.0a9f.grower-payment");
        assertThat(envelope.at("/spec/state").textValue()).isEqualTo("in");
    }

    /** Guards against a deleted object that reappears or that a watcher never hears of. */
    @Test
    void leavesATombstone() throws Exception {
        put(PATH, 0, CHANGE);
        assertThat(http.send("DELETE", PATH, "", "If-Match", "1").statusCode()).isEqualTo(200);
        assertThat(http.send("GET", PATH, "").statusCode()).isEqualTo(404);
        JsonNode changes = Http.json(http.send("GET", "/v1/objects?since=1&kind=zone", ""));
        assertThat(changes.at("/objects/0/deleted").booleanValue()).isTrue();
        assertThat(put(PATH, 0, CHANGE).statusCode()).isEqualTo(200);
    }

    /** Guards against a watch that misses a write made while it waits, or answers for another kind. */
    @Test
    void answersAWatchOnTheFirstMatchingWrite() throws Exception {
        CompletableFuture<HttpResponse<String>> watch =
                http.sendAsync("GET", "/v1/watch?since=0&timeoutMillis=9000&kind=zone,target", "");
        put("/v1/objects/claim/x", 0, CHANGE);
        put(PATH, 0, CHANGE);
        JsonNode changes = Http.json(watch.get(9, TimeUnit.SECONDS));
        assertThat(changes.get("revision").longValue()).isEqualTo(2);
        assertThat(changes.get("objects")).hasSize(1);
        assertThat(Http.json(http.send("GET", "/v1/watch?since=2&timeoutMillis=1", ""))
                        .get("objects"))
                .isEmpty();
    }

    /** Guards against a lost answer whose write did not behave as the switch says. */
    @ParameterizedTest
    @CsvSource({"LOSE_AFTER_EFFECT, 1", "LOSE_BEFORE_EFFECT, 0", "CUT, 0"})
    void losesTheAnswerOfAWrite(ObjectApiFault fault, long revision) throws Exception {
        api.fault(fault, 1);
        assertThatThrownBy(() -> put(PATH, 0, CHANGE)).isInstanceOf(IOException.class);
        assertThat(api.revision()).isEqualTo(revision);
        assertThat(http.send("GET", PATH, "").statusCode()).isEqualTo(revision == 1 ? 200 : 404);
    }

    /** Guards against a refused call that nevertheless takes effect. */
    @ParameterizedTest
    @CsvSource({"unavailable, 1, 503", "writesPerSecond, 0, 429"})
    void refusesWithoutEffect(String fault, long value, int status) throws Exception {
        http.send("PUT", "/v1/faults", "{\"" + fault + "\":" + value + "}");
        HttpResponse<String> refused = put(PATH, 0, CHANGE);
        assertThat(refused.statusCode()).isEqualTo(status);
        assertThat(refused.headers().firstValue("Retry-After")).contains("1");
        assertThat(api.revision()).isZero();
        assertThat(api.calls(CallKind.PUT)).isEqualTo(1);
    }

    /** Guards against slow answers that arrive early. */
    @ParameterizedTest
    @ValueSource(strings = {"DELAY_BEFORE_MILLIS", "DELAY_AFTER_MILLIS"})
    void holdsSlowAnswers(ObjectApiFault fault) throws Exception {
        api.fault(fault, 50);
        long start = System.nanoTime();
        put(PATH, 0, CHANGE);
        assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(49));
    }

    /** Guards against values above the limit of the platform, and malformed ones, being stored. */
    @ParameterizedTest
    @CsvSource({"1100000, 413", "0, 400"})
    void refusesBadValues(int bytes, int status) throws Exception {
        String spec = bytes == 0 ? "7" : "{\"text\":\"" + "x".repeat(bytes) + "\"}";
        assertThat(put(PATH, 0, "{\"changeId\":\"c\",\"spec\":" + spec + "}").statusCode())
                .isEqualTo(status);
        assertThat(api.revision()).isZero();
    }

    /** Guards against a store that loses its content when it refuses connections for a time. */
    @Test
    void refusesConnectionsForATime() throws Exception {
        put(PATH, 0, CHANGE);
        api.fault(ObjectApiFault.REJECT_MILLIS, 200);
        assertThatThrownBy(() -> http.send("GET", PATH, "")).isInstanceOf(IOException.class);
        assertThat(Http.untilAnswered(() -> http.send("GET", PATH, "")).statusCode())
                .isEqualTo(200);
    }

    private HttpResponse<String> put(String path, long expected, String body) throws Exception {
        return http.send("PUT", path, body, "If-Match", Long.toString(expected));
    }
}
