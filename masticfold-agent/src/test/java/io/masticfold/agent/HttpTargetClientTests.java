package io.masticfold.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.gate.TargetCall;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.time.TimeSource;
import io.masticfold.testkit.targets.Execution;
import io.masticfold.testkit.targets.ExecutionState;
import io.masticfold.testkit.targets.TargetFault;
import io.masticfold.testkit.targets.TargetProfile;
import io.masticfold.testkit.targets.TargetStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which outcome the client reports for the responses and failures of a target. */
final class HttpTargetClientTests {

    private static final Duration BUDGET = Duration.ofSeconds(10);

    private final AgentEventLoop loop = new AgentEventLoop("test");
    private TargetStandIn target;

    @BeforeEach
    void startLoop() {
        loop.start();
    }

    @AfterEach
    void stop() {
        if (target != null) {
            target.stop();
        }
        loop.stop();
    }

    /** Whether the client reports a failed call as run must agree with what the target executed. */
    @ParameterizedTest
    @CsvSource({
        "REFUSE, OVERLOADED NO, 0",
        "FAIL, TARGET_FAILED YES, 1",
        "CUT_ON_ARRIVAL, LINK_LOST UNKNOWN, 0",
        "CUT_BEFORE_BODY, LINK_LOST UNKNOWN, 1",
        "REJECT_MILLIS, TARGET_UNREACHABLE NO, 0"
    })
    void faultIsClassified(TargetFault fault, String outcome, int executions) throws Exception {
        start(TargetProfile.of("t1", TargetKind.STAGE));
        target.fault(fault, fault == TargetFault.REJECT_MILLIS ? 60_000 : 1);
        RecordingTargetListener listener = new RecordingTargetListener();
        client().call(dispatch(1, false, false, 0), BUDGET, listener);
        assertThat(listener.awaitOutcome()).isEqualTo(outcome);
        assertThat(target.executions()).hasSize(executions);
        assertThat(listener.outcomes()).hasSize(1);
    }

    /** The headers and body of a call reach the target, and its response is returned as the result. */
    @Test
    void nonStreamingResponseIsReturned() throws Exception {
        start(TargetProfile.of("t1", TargetKind.SERVICE));
        RecordingTargetListener listener = new RecordingTargetListener();
        StageDispatch dispatch = dispatch(7, true, false, 0);
        client().call(dispatch, BUDGET, listener);
        assertThat(listener.awaitOutcome()).startsWith("{");
        Execution execution = target.executions().get(0);
        assertThat(execution.attemptId()).isEqualTo(dispatch.attempt().toString());
        assertThat(execution.requestId()).isEqualTo("r7");
        assertThat(execution.priority()).isEqualTo("4");
        assertThat(Long.parseLong(execution.deadlineMillis())).isBetween(1L, BUDGET.toMillis());
    }

    /** No part of a streaming result is lost or repeated, from the start or from a resume offset. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 25})
    void streamIsDeliveredFromResumeOffset(int offset) throws Exception {
        start(TargetProfile.of("t1", TargetKind.ENGINE));
        RecordingTargetListener listener = new RecordingTargetListener();
        client().call(dispatch(1, true, true, offset), BUDGET, listener);
        String whole = listener.awaitOutcome();
        assertThat(whole.lines()).hasSize(20);
        assertThat(whole).endsWith("\n");
        assertThat(listener.streamedText()).isEqualTo(whole.substring(offset));
    }

    /** A stream that is cut off must not be reported as complete. */
    @Test
    void truncatedStreamFails() throws Exception {
        start(TargetProfile.of("t1", TargetKind.ENGINE));
        target.fault(TargetFault.CUT_DURING_BODY, 1);
        RecordingTargetListener listener = new RecordingTargetListener();
        client().call(dispatch(1, true, true, 0), BUDGET, listener);
        assertThat(listener.awaitOutcome()).isEqualTo("LINK_LOST YES");
        assertThat(listener.streamedText()).isNotEmpty();
    }

    /** A call that exceeds its budget or is cancelled by the caller must not keep running on the target. */
    @ParameterizedTest
    @CsvSource({"true, CANCELLED UNKNOWN", "false, STAGE_TIMEOUT UNKNOWN"})
    void cancelledOrTimedOutCallIsCancelledOnTarget(boolean cancel, String outcome) throws Exception {
        start(TargetProfile.of("t1", TargetKind.STAGE).withService(60_000, 1, 1));
        RecordingTargetListener listener = new RecordingTargetListener();
        Duration budget = cancel ? BUDGET : Duration.ofMillis(300);
        TargetCall call = client().call(dispatch(1, true, false, 0), budget, listener);
        TestWaits.await(
                "execution",
                () -> !target.executions().isEmpty() || !listener.outcomes().isEmpty());
        if (cancel) {
            call.cancel();
        }
        assertThat(listener.awaitOutcome()).isEqualTo(outcome);
        TestWaits.await("cancellation", () -> target.executions().get(0).state() == ExecutionState.CANCELLED_RUNNING);
    }

    private void start(TargetProfile profile) throws IOException {
        target = new TargetStandIn(new InetSocketAddress("127.0.0.1", 0), profile);
        target.start();
    }

    private HttpTargetClient client() {
        return new HttpTargetClient(loop.eventloop(), "t1", target.address(), TimeSource.system());
    }

    private static StageDispatch dispatch(long counter, boolean idempotent, boolean streaming, long offset) {
        return new StageDispatch(
                new AttemptId(new Incarnation(1, 2), counter),
                "r" + counter,
                "workspace-1",
                "pipeline-1",
                0,
                "t1",
                new Incarnation(3, 4),
                idempotent,
                4,
                1,
                BUDGET.toMillis() * 1_000,
                0,
                streaming,
                offset,
                0,
                Payload.ofUtf8("{\"operation\":\"op-" + counter + "\",\"prompt\":\"p\"}"));
    }
}
