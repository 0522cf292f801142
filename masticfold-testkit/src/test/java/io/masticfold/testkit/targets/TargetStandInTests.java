package io.masticfold.testkit.targets;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.Http;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class TargetStandInTests {

    private static final String BODY = "{\"payment\":{\"operation\":\"pay-7\"}}";
    private static final TargetProfile ENGINE = TargetProfile.of("engine-1", TargetKind.ENGINE);

    private TargetStandIn target;
    private Http http;

    @AfterEach
    void stop() {
        target.stop();
    }

    /** Guards against an answer or a record that cannot be matched with its request. */
    @Test
    void recordsAndEchoesTheRequest() throws Exception {
        start(ENGINE);
        JsonNode answer = Http.json(run("1:1", "r-1"));
        Execution execution = target.executions().get(0);
        assertThat(answer.get("input").toString()).isEqualTo(BODY);
        assertThat(answer.get("requestId").textValue()).isEqualTo("r-1");
        assertThat(answer.get("inputDigest").textValue()).isEqualTo(execution.inputDigest());
        assertThat(execution.attemptId()).isEqualTo("1:1");
        assertThat(execution.operation()).isEqualTo("pay-7");
        assertThat(execution.state()).isEqualTo(ExecutionState.DONE);
    }

    /** Guards against a switch that returns before the kernel has closed the listening socket. */
    @RepeatedTest(30)
    void rejectsConnectionsOnceTheSwitchReturns() throws IOException {
        start(ENGINE);
        target.fault(TargetFault.REJECT_MILLIS, 60_000);
        try (Socket socket = new Socket()) {
            assertThatThrownBy(() -> socket.connect(target.address(), 1_000)).isInstanceOf(ConnectException.class);
        }
    }

    /** Guards against a stream without its tokens in order or without an end mark. */
    @Test
    void streamsTokensAndAnEnd() throws Exception {
        start(ENGINE.withService(20, 5, 3));
        HttpResponse<String> answer = stream("r-2");
        assertThat(answer.headers().firstValue("Content-Type")).contains("text/event-stream");
        List<String> lines =
                answer.body().lines().filter(line -> !line.isEmpty()).toList();
        assertThat(lines)
                .hasSize(12)
                .startsWith("event: token", "data: \"r-2\"")
                .contains("data: \"t4\"");
        assertThat(lines.get(10)).isEqualTo("event: end");
        assertThat(lines.get(11)).contains("\"tokens\":5");
    }

    /** Guards against cut connections whose execution does not match the switch, and cut answers that look whole. */
    @ParameterizedTest
    @CsvSource({"CUT_ON_ARRIVAL, 0", "CUT_BEFORE_BODY, 1", "CUT_DURING_BODY, 1"})
    void cutsConnections(TargetFault fault, int executions) throws IOException {
        start(ENGINE);
        for (boolean streamed : new boolean[] {false, true}) {
            target.fault(fault, 1);
            assertThatThrownBy(() -> {
                        HttpResponse<String> answer = streamed ? stream("r") : run("1:1", "r");
                        assertThat(answer.body()).doesNotContain("event: end");
                    })
                    .isInstanceOf(IOException.class);
        }
        assertThat(target.executions()).hasSize(2 * executions);
    }

    /** Guards against a connection that is cut before the answer is whole when the switch says after. */
    @Test
    void cutsAfterTheWholeAnswer() throws Exception {
        start(ENGINE);
        target.fault(TargetFault.CUT_AFTER_BODY, 1);
        assertThat(Http.json(run("1:1", "r")).get("requestId").textValue()).isEqualTo("r");
        // The client may reuse a connection that is being cut, which it does not repeat for a POST.
        http = new Http(target);
        assertThat(Http.json(run("1:2", "r2")).get("requestId").textValue()).isEqualTo("r2");
    }

    /** Guards against refusals that count as executed and failures that do not. */
    @ParameterizedTest
    @CsvSource({"REFUSE, 503, true, 0", "FAIL, 500, , 1"})
    void refusesOrFails(TargetFault fault, int status, String notRun, int executions) throws Exception {
        start(ENGINE);
        target.fault(fault, 1);
        HttpResponse<String> answer = run("1:1", "r");
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.headers().firstValue("X-Not-Run").orElse(null)).isEqualTo(notRun);
        assertThat(target.executions()).hasSize(executions);
        assertThat(run("1:2", "r").statusCode()).isEqualTo(200);
    }

    /** Guards against a cold target that bears any load, which would hide a broken cold bound. */
    @ParameterizedTest
    @CsvSource({"2, 0", "3, 1"})
    void collapsesBeyondTheColdBound(int runs, int collapses) throws Exception {
        start(ENGINE.withCold(2, 60_000).withService(100, 1, 1));
        List<CompletableFuture<HttpResponse<String>>> answers = IntStream.range(0, runs)
                .mapToObj(i -> http.sendAsync("POST", "/v1/run", BODY, "X-Attempt-Id", "1:" + i))
                .toList();
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertThat(answer.get(9, TimeUnit.SECONDS).statusCode()).isEqualTo(collapses == 0 ? 200 : 500);
        }
        assertThat(target.collapses()).isEqualTo(collapses);
        assertThat(target.peakInFlightCold()).isEqualTo(runs);
    }

    /** Guards against a cancel that frees no slot or is reported as run although it only waited. */
    @Test
    void cancelsWaitingAndRunningWork() throws Exception {
        start(ENGINE.withSlots(1, 1).withService(60_000, 1, 1));
        CompletableFuture<HttpResponse<String>> first = http.sendAsync("POST", "/v1/run", BODY, "X-Attempt-Id", "1:1");
        awaitOpen(1);
        CompletableFuture<HttpResponse<String>> second = http.sendAsync("POST", "/v1/run", BODY, "X-Attempt-Id", "1:2");
        awaitOpen(2);
        assertThat(run("1:3", "r").headers().firstValue("X-Not-Run")).contains("true");
        assertThat(Http.json(http.send("DELETE", "/v1/run/1%3A2", ""))
                        .get("ran")
                        .booleanValue())
                .isFalse();
        assertThat(Http.json(http.send("DELETE", "/v1/run/1:1", "")).get("ran").booleanValue())
                .isTrue();
        assertThat(first.get(9, TimeUnit.SECONDS).statusCode()).isEqualTo(499);
        assertThat(second.get(9, TimeUnit.SECONDS).statusCode()).isEqualTo(499);
        assertThat(target.executions())
                .extracting(Execution::state)
                .containsExactly(ExecutionState.CANCELLED_WAITING, ExecutionState.CANCELLED_RUNNING);
    }

    /** Guards against load reports without a new boot id after a cold turn, or without the lag. */
    @Test
    void reportsLoadAndTurningCold() throws Exception {
        start(ENGINE);
        JsonNode before = Http.json(http.send("GET", "/v1/load", ""));
        http.send("PUT", "/v1/faults", "{\"turnColdMillis\":60000,\"burstSlots\":4}");
        JsonNode after = Http.json(http.send("GET", "/v1/load", ""));
        assertThat(before.get("state").textValue()).isEqualTo("warm");
        assertThat(after.get("state").textValue()).isEqualTo("cold");
        assertThat(after.get("running").intValue()).isEqualTo(4);
        assertThat(after.get("bootId")).isNotEqualTo(before.get("bootId"));
    }

    /** Guards against a lagging report that shows the present. */
    @Test
    void reportsAnOldLoad() throws Exception {
        start(ENGINE.withReports(60_000, true));
        String before =
                Http.json(http.send("GET", "/v1/load", "")).get("bootId").textValue();
        target.fault(TargetFault.TURN_COLD_MILLIS, 60_000);
        JsonNode after = Http.json(http.send("GET", "/v1/load", ""));
        assertThat(after.get("bootId").textValue()).isEqualTo(before);
    }

    /** Guards against a frozen target that answers, or that loses the held work on resume. */
    @Test
    void holdsAnswersWhileFrozen() throws Exception {
        start(ENGINE);
        target.fault(TargetFault.FREEZE, 1);
        CompletableFuture<HttpResponse<String>> held = http.sendAsync("POST", "/v1/run", BODY);
        assertThat(http.send("GET", "/v1/executions", "").statusCode()).isEqualTo(200);
        assertThat(held).isNotDone();
        target.fault(TargetFault.FREEZE, 0);
        assertThat(held.get(9, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }

    /** Guards against an engine that treats old fencing numbers otherwise than its profile says. */
    @ParameterizedTest
    @CsvSource({"true, 409, 1", "false, 200, 2"})
    void checksOrIgnoresFencing(boolean checks, int status, long accepted) throws Exception {
        start(ENGINE.withReports(0, checks));
        assertThat(order(7).statusCode()).isEqualTo(200);
        assertThat(order(6).statusCode()).isEqualTo(status);
        assertThat(target.orders().stream().filter(Order::accepted)).hasSize((int) accepted);
    }

    /** Guards against kinds of targets other than engines that stream or take orders. */
    @ParameterizedTest
    @EnumSource(
            value = TargetKind.class,
            names = {"STAGE", "SERVICE"})
    void onlyEnginesStreamAndTakeOrders(TargetKind kind) throws Exception {
        start(TargetProfile.of("plain", kind));
        assertThat(stream("r").headers().firstValue("Content-Type")).contains("application/json");
        assertThat(order(1).statusCode()).isEqualTo(404);
    }

    private void start(TargetProfile profile) throws IOException {
        target = new TargetStandIn(new InetSocketAddress("127.0.0.1", 0), profile);
        target.start();
        http = new Http(target);
    }

    private void awaitOpen(int count) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(9);
        while (target.executions().size() < count && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(target.executions()).hasSize(count);
    }

    private HttpResponse<String> run(String attempt, String request) throws IOException, InterruptedException {
        return http.send("POST", "/v1/run", BODY, "X-Attempt-Id", attempt, "X-Request-Id", request);
    }

    private HttpResponse<String> stream(String request) throws IOException, InterruptedException {
        return http.send("POST", "/v1/run", BODY, "X-Request-Id", request, "Accept", "text/event-stream");
    }

    private HttpResponse<String> order(long fencingNumber) throws IOException, InterruptedException {
        return http.send("PUT", "/v1/order", "{\"model\":\"palm\"}", "X-Fencing-Number", Long.toString(fencingNumber));
    }
}
