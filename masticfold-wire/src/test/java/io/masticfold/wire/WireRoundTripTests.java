package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.ZoneState;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the transfer of attempts, permits and configuration over a healthy link. */
final class WireRoundTripTests {

    private static final TargetLoad AFTER = new TargetLoad(Temperature.WARMING, 3, 0, 5, 77);

    private LoopbackFixture fixture;
    private AgentLink link;

    @BeforeEach
    void connect() throws IOException {
        fixture = LoopbackFixture.connected();
        link = fixture.client.link("t1");
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    static Stream<StageOutcome> outcomes() {
        return Stream.of(
                new StageCompleted(Payload.ofUtf8("{\"a\":1}"), 1_234),
                new StageCompleted(Payload.wrap(new byte[1_500_000]), 0),
                new StageRefused(ErrorKind.QUEUE_FULL, Duration.ofMillis(250)),
                new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES),
                new StageFailed(ErrorKind.STAGE_TIMEOUT, Ran.UNKNOWN));
    }

    /** Guards against fields that are lost or changed in transit. */
    @ParameterizedTest
    @MethodSource("outcomes")
    void dispatchAndOutcomeArriveUnchanged(StageOutcome outcome) {
        StageDispatch dispatch = LoopbackFixture.dispatch(1, true, false);
        RecordingListener listener = dispatched(dispatch);
        assertThat(fixture.handler.dispatches()).containsExactly(dispatch);

        fixture.handler.listener(dispatch.attempt()).outcome(outcome, AFTER);
        LoopbackFixture.await("outcome", () -> !listener.outcomes().isEmpty());
        assertThat(listener.outcomes()).containsExactly(outcome);
        assertThat(link.load()).isEqualTo(AFTER);
    }

    /** Guards against a stream that exceeds its window, loses bytes or ends before its last chunk. */
    @Test
    void streamWaitsForWindowAndArrivesCompletely() {
        StageDispatch dispatch = LoopbackFixture.dispatch(1, true, true);
        RecordingListener listener = dispatched(dispatch);
        byte[] whole = new byte[WireLimits.STREAM_WINDOW_BYTES + 100_000];
        for (int i = 0; i < whole.length; i++) {
            whole[i] = (byte) (i * 31 / 7);
        }
        fixture.handler.listener(dispatch.attempt()).chunk(0, Payload.wrap(whole));
        fixture.handler.listener(dispatch.attempt()).outcome(new StageCompleted(Payload.wrap(whole), 9), AFTER);
        LoopbackFixture.await("first window", () -> received(listener) == WireLimits.STREAM_WINDOW_BYTES);
        assertThat(listener.outcomes()).isEmpty();

        link.grant(dispatch.attempt(), 200_000);
        LoopbackFixture.await("outcome", () -> !listener.outcomes().isEmpty());
        assertThat(received(listener)).isEqualTo(whole.length);
        assertThat(listener.outcomes()).containsExactly(new StageCompleted(Payload.wrap(whole), 9));
        assertThat(fixture.handler.grants()).containsExactly(200_000);
    }

    /** Guards against a second outcome that is delivered to an attempt that has ended. */
    @Test
    void secondOutcomeIsDropped() {
        StageDispatch first = LoopbackFixture.dispatch(1, true, false);
        RecordingListener listener = dispatched(first);
        link.cancel(first.attempt());
        LoopbackFixture.await("cancel", () -> fixture.handler.cancelled().contains(first.attempt()));
        fixture.handler.listener(first.attempt()).outcome(new StageFailed(ErrorKind.CANCELLED, Ran.UNKNOWN), AFTER);
        fixture.handler.listener(first.attempt()).outcome(new StageCompleted(Payload.EMPTY, 0), AFTER);
        StageDispatch second = LoopbackFixture.dispatch(2, true, false);
        RecordingListener next = dispatched(second);
        fixture.handler.listener(second.attempt()).outcome(new StageCompleted(Payload.EMPTY, 0), AFTER);
        LoopbackFixture.await("outcome", () -> !next.outcomes().isEmpty());
        assertThat(listener.outcomes()).containsExactly(new StageFailed(ErrorKind.CANCELLED, Ran.UNKNOWN));
    }

    /** Guards the replies to seal requests for known and unknown attempts. */
    @Test
    void sealIsAnswered() throws Exception {
        StageDispatch dispatch = LoopbackFixture.dispatch(1, false, false);
        dispatched(dispatch);
        CompletableFuture<SealOutcome> known = new CompletableFuture<>();
        CompletableFuture<SealOutcome> unknown = new CompletableFuture<>();
        link.seal(dispatch.attempt(), LoopbackFixture.AGENT, known::complete);
        link.seal(LoopbackFixture.dispatch(2, false, false).attempt(), LoopbackFixture.AGENT, unknown::complete);
        assertThat(known.get()).isEqualTo(SealOutcome.done(Payload.ofUtf8("kept")));
        assertThat(unknown.get()).isEqualTo(SealOutcome.of(SealOutcome.State.NOT_RUN));
    }

    /** Guards against changes that are replicated in one direction only, and against a stale revision of the peer. */
    @Test
    void configurationReachesBothSides() {
        LoopbackFixture.await("catch-up of the agent", this::equalConfiguration);
        fixture.entryConfig.merge(List.of(LoopbackFixture.zone("zone-a", 5, ZoneState.OUT)));
        LoopbackFixture.await("push to the agent", this::equalConfiguration);
        fixture.agentConfig.merge(List.of(LoopbackFixture.zone("zone-b", 6, ZoneState.IN)));
        LoopbackFixture.await("push to the entry", this::equalConfiguration);
        assertThat(fixture.entryConfig.snapshot().revision()).isEqualTo(6);
        LoopbackFixture.await(
                "confirmation",
                () -> fixture.client.status().get(0).peerRevision() == 6
                        && fixture.server.status().get(0).peerRevision() == 6);
        assertThat(fixture.client.status().get(0).peerDigest())
                .isEqualTo(fixture.entryConfig.snapshot().digest());
        assertThat(fixture.client.status().get(0).roundTripMicros()).isPositive();
    }

    /** Guards against an object that is never replicated because the peer already has a higher revision. */
    @Test
    void gapBelowTheRevisionIsFilled() {
        fixture.agentConfig.merge(List.of(LoopbackFixture.zone("zone-c", 9, ZoneState.IN)));
        LoopbackFixture.await("catch-up", this::equalConfiguration);
        fixture.entryConfig.merge(List.of(LoopbackFixture.zone("zone-d", 4, ZoneState.IN)));
        LoopbackFixture.await("full exchange", this::equalConfiguration);
        assertThat(fixture.agentConfig.snapshot().zone("zone-d")).isPresent();
    }

    /** Guards the request of weight-store permits: without a connected entry they are denied, otherwise it decides. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void permitIsRequestedFromTheEntries(boolean granted) throws Exception {
        PermitDecision grant = granted ? new PermitDecision(true, Duration.ofSeconds(30)) : PermitDecision.DENIED;
        PermitHandler permits = (target, bytes, reply) ->
                reply.accept(target.equals("t1") && bytes == 7_000_000_000L ? grant : PermitDecision.DENIED);
        try (LoopbackFixture holder = new LoopbackFixture("secret", "secret", permits)) {
            CompletableFuture<PermitDecision> unconnected = new CompletableFuture<>();
            holder.server.requestPermit("t1", 1, unconnected::complete);
            assertThat(unconnected.get()).isEqualTo(PermitDecision.DENIED);

            holder.entryConfig.merge(List.of(holder.target(1)));
            holder.awaitUsable();
            CompletableFuture<PermitDecision> answer = new CompletableFuture<>();
            holder.server.requestPermit("t1", 7_000_000_000L, answer::complete);
            assertThat(answer.get()).isEqualTo(grant);
        }
    }

    private boolean equalConfiguration() {
        return fixture.agentConfig.snapshot().digest()
                == fixture.entryConfig.snapshot().digest();
    }

    private RecordingListener dispatched(StageDispatch dispatch) {
        RecordingListener listener = new RecordingListener();
        link.dispatch(dispatch, listener);
        LoopbackFixture.await("dispatch", () -> fixture.handler.listener(dispatch.attempt()) != null);
        return listener;
    }

    private static int received(RecordingListener listener) {
        return listener.chunks().stream().mapToInt(Payload::size).sum();
    }
}
