package io.masticfold.core.gate;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests admission: the reasons for refusal, their precedence and recording, and the checks repeated before a call. */
final class AgentGateTests {

    private static final Incarnation OTHER_AGENT = new Incarnation(900, 9);
    private static final Zone ZONE_OUT = new Zone("z1", "r1", ZoneState.OUT);

    private final GateFixture fixture = GateFixture.configured();
    private final FakeTarget target = fixture.target();
    private final List<SealOutcome> seals = new ArrayList<>();

    @AfterEach
    void theGateCaughtNoExceptions() {
        assertThat(fixture.failureCounters()).isEmpty();
    }

    /** Provides the changes that stop new work, each with the resulting refusal. */
    static Stream<Arguments> stops() {
        return Stream.of(
                stop(ErrorKind.ZONE_OUT, fixture -> fixture.put(ZONE_OUT)),
                stop(
                        ErrorKind.TARGET_LEAVING,
                        fixture -> fixture.put(GateFixture.target(TargetState.LEAVING, 1, 4, 2))),
                stop(ErrorKind.TARGET_LEAVING, fixture -> fixture.gate().startLeaving()));
    }

    private static Arguments stop(ErrorKind kind, Consumer<GateFixture> change) {
        return Arguments.of(kind, change);
    }

    @ParameterizedTest
    @MethodSource("stops")
    void aStopRefusesNewAndQueuedAttemptsButNotRunningOnes(ErrorKind kind, Consumer<GateFixture> change) {
        StageDispatch started = fixture.idempotentDispatch();
        RecordingListener running = fixture.send(started);
        StageDispatch queued = fixture.nonIdempotentDispatch();
        RecordingListener waiting = fixture.send(queued);

        change.accept(fixture);
        RecordingListener late = fixture.send(fixture.idempotentDispatch());

        assertThat(waiting.outcomes()).containsExactly(new StageRefused(kind, Duration.ZERO));
        assertThat(late.outcomes()).containsExactly(new StageRefused(kind, Duration.ZERO));
        assertThat(fixture.seal(queued.attempt(), GateFixture.AGENT).state()).isEqualTo(SealOutcome.State.NOT_RUN);
        assertThat(fixture.gate().inFlight()).isEqualTo(1);
        target.complete(started.attempt(), "out");
        assertThat(running.outcomes()).hasSize(1).first().isInstanceOf(StageCompleted.class);
        assertThat(target.executions()).containsExactly(started.attempt());
    }

    @Test
    void anUnconfiguredGateRefusesAndRecordsTheRefusal() {
        GateFixture unconfigured = new GateFixture();
        StageDispatch dispatch = unconfigured.nonIdempotentDispatch();

        assertThat(unconfigured.send(dispatch).outcomes())
                .containsExactly(new StageRefused(ErrorKind.NO_CONFIGURATION, Duration.ZERO));

        unconfigured.put(new Zone("z1", "r1", ZoneState.IN));
        unconfigured.put(GateFixture.target(TargetState.SERVING, 1, 4, 2));
        assertThat(unconfigured.send(dispatch).outcomes())
                .containsExactly(new StageRefused(ErrorKind.DUPLICATE_ATTEMPT, Duration.ZERO));
        assertThat(unconfigured.target().executions()).isEmpty();
    }

    @Test
    void afterAPauseNoAttemptRunsBeforeARoundTripWithAnEntry() {
        fixture.completeRoundTrip();
        fixture.scheduler().advance(AdmissionChecks.MAX_CONTACT_AGE);
        fixture.send(fixture.idempotentDispatch());
        assertThat(target.executions()).hasSize(1);

        fixture.scheduler().advance(Duration.ofMillis(1));
        assertThat(fixture.send(fixture.idempotentDispatch()).outcomes())
                .containsExactly(new StageRefused(ErrorKind.NO_CONFIGURATION, Duration.ZERO));
        assertThat(target.executions()).hasSize(1);

        target.complete(target.executions().get(0), "out");
        fixture.completeRoundTrip();
        fixture.send(fixture.idempotentDispatch());
        assertThat(target.executions()).hasSize(2);
    }

    @ParameterizedTest
    @MethodSource("budgets")
    void aBudgetThatIsSpentOrTooShortIsRefused(long budgetMillis, long minimumMillis, ErrorKind kind) {
        RecordingListener listener = fixture.send(fixture.dispatch(5, budgetMillis, minimumMillis, true));

        assertThat(listener.outcomes()).containsExactly(new StageRefused(kind, Duration.ZERO));
        assertThat(target.executions()).isEmpty();
    }

    static Stream<Arguments> budgets() {
        return Stream.of(
                Arguments.of(0, 0, ErrorKind.DEADLINE_EXPIRED),
                Arguments.of(-5, 10, ErrorKind.DEADLINE_EXPIRED),
                Arguments.of(9, 10, ErrorKind.BUDGET_TOO_SHORT));
    }

    @Test
    void anAttemptForAnotherIncarnationIsUnknownAndNeverRuns() {
        AttemptId attempt = fixture.nextId();

        assertThat(fixture.send(GateFixture.dispatch(attempt, OTHER_AGENT, 5, 100, 0, false))
                        .outcomes())
                .containsExactly(new StageFailed(ErrorKind.STALE_INCARNATION, Ran.UNKNOWN));
        assertThat(fixture.send(GateFixture.dispatch(attempt, GateFixture.AGENT, 5, 100, 0, false))
                        .outcomes())
                .containsExactly(new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN));
        assertThat(fixture.seal(attempt, OTHER_AGENT).state()).isEqualTo(SealOutcome.State.UNKNOWN);
        assertThat(target.executions()).isEmpty();
    }

    @Test
    void aFullQueueRefusesTheAttemptWithTheLowestPriority() {
        StageDispatch first = fixture.idempotentDispatch();
        fixture.send(first);
        StageDispatch low = fixture.dispatch(1, 1_000, 0, true);
        RecordingListener lowListener = fixture.send(low);
        RecordingListener midListener = fixture.send(fixture.dispatch(5, 1_000, 0, true));

        StageDispatch high = fixture.dispatch(9, 1_000, 0, true);
        fixture.send(high);
        RecordingListener lowest = fixture.send(fixture.dispatch(0, 1_000, 0, true));

        assertThat(lowListener.outcomes()).hasSize(1).first().isInstanceOf(StageRefused.class);
        assertThat(lowest.outcomes()).hasSize(1).first().isInstanceOf(StageRefused.class);
        assertThat(midListener.outcomes()).isEmpty();
        assertThat(fixture.seal(low.attempt(), GateFixture.AGENT).state()).isEqualTo(SealOutcome.State.NOT_RUN);
        target.complete(first.attempt(), "out");
        assertThat(target.executions()).containsExactly(first.attempt(), high.attempt());
    }

    @Test
    void theQueueIsOrderedByDeadlineWithinAPriority() {
        StageDispatch first = fixture.idempotentDispatch();
        fixture.send(first);
        fixture.send(fixture.dispatch(5, 900, 0, true));
        StageDispatch urgent = fixture.dispatch(5, 300, 0, true);
        fixture.send(urgent);

        target.complete(first.attempt(), "out");

        assertThat(target.executions()).containsExactly(first.attempt(), urgent.attempt());
    }

    @Test
    void aWaitingAttemptIsRefusedWhenItsBudgetFallsUnderItsMinimum() {
        fixture.send(fixture.idempotentDispatch());
        RecordingListener waiting = fixture.send(fixture.dispatch(5, 500, 200, true));

        fixture.scheduler().advance(Duration.ofMillis(300));
        assertThat(waiting.outcomes()).isEmpty();
        fixture.scheduler().advance(Duration.ofMillis(1));

        assertThat(waiting.outcomes()).containsExactly(new StageRefused(ErrorKind.BUDGET_TOO_SHORT, Duration.ZERO));
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"ZONE_OUT", "TARGET_LEAVING", "DEADLINE_EXPIRED", "SEALED"})
    void theRepeatedChecksStopAnAttemptWithAReservedSlot(ErrorKind kind) {
        StageDispatch first = fixture.idempotentDispatch();
        StageDispatch second = fixture.nonIdempotentDispatch();
        // The listener of the first attempt runs after the slot of the second was reserved and before its call.
        fixture.gate().dispatch(first, new RecordingListener(() -> changeBeforeTheCall(kind, second)));
        RecordingListener listener = fixture.send(second);

        target.complete(first.attempt(), "out");

        assertThat(listener.outcomes())
                .hasSize(1)
                .first()
                .isInstanceOfSatisfying(StageRefused.class, refused -> assertThat(refused.kind())
                        .isEqualTo(kind));
        assertThat(target.executions()).containsExactly(first.attempt());
        assertThat(seals).allSatisfy(outcome -> assertThat(outcome.state()).isEqualTo(SealOutcome.State.NOT_RUN));
        assertThat(seals).hasSize(kind == ErrorKind.SEALED ? 1 : 0);
        assertThat(fixture.gate().inFlight()).isZero();
    }

    private void changeBeforeTheCall(ErrorKind kind, StageDispatch second) {
        switch (kind) {
            case ZONE_OUT -> fixture.put(ZONE_OUT);
            case TARGET_LEAVING -> fixture.gate().startLeaving();
            case DEADLINE_EXPIRED -> fixture.scheduler().pause(Duration.ofSeconds(2));
            default -> fixture.gate().seal(second.attempt(), GateFixture.AGENT, seals::add);
        }
    }

    @Test
    void aLimitThatFallsBeforeTheCallPutsTheAttemptBackInTheQueue() {
        fixture.report("b1", Temperature.WARM, 0);
        for (int i = 0; i < 4; i++) {
            StageDispatch warming = fixture.idempotentDispatch();
            fixture.send(warming);
            target.complete(warming.attempt(), "out");
        }
        StageDispatch first = fixture.idempotentDispatch();
        fixture.gate().dispatch(first, new RecordingListener(() -> fixture.report("b1", Temperature.COLD, 0)));
        List<StageDispatch> running =
                Stream.generate(fixture::idempotentDispatch).limit(3).toList();
        running.forEach(fixture::send);
        StageDispatch waiting = fixture.nonIdempotentDispatch();
        RecordingListener listener = fixture.send(waiting);

        target.complete(first.attempt(), "out");

        assertThat(target.executions()).doesNotContain(waiting.attempt());
        assertThat(fixture.gate().load().queued()).isEqualTo(1);
        assertThat(fixture.gate().inFlight()).isEqualTo(3);
        running.forEach(run -> target.complete(run.attempt(), "out"));
        target.complete(waiting.attempt(), "out");
        assertThat(listener.outcomes()).hasSize(1).first().isInstanceOf(StageCompleted.class);
    }

    @Test
    void sealReturnsTheOutcomeOfAnAttemptInAnyState() {
        StageDispatch payment = fixture.nonIdempotentDispatch();
        AttemptId unseen = fixture.nextId();

        assertThat(fixture.seal(unseen, GateFixture.AGENT).state()).isEqualTo(SealOutcome.State.NOT_RUN);
        assertThat(fixture.send(GateFixture.dispatch(unseen, GateFixture.AGENT, 5, 100, 0, false))
                        .outcomes())
                .containsExactly(new StageRefused(ErrorKind.SEALED, Duration.ZERO));
        fixture.send(payment);
        assertThat(fixture.seal(payment.attempt(), GateFixture.AGENT).state()).isEqualTo(SealOutcome.State.RUNNING);
        target.complete(payment.attempt(), "receipt");
        assertThat(fixture.seal(payment.attempt(), GateFixture.AGENT))
                .isEqualTo(SealOutcome.done(Payload.ofUtf8("receipt")));
        assertThat(fixture.seal(payment.attempt(), OTHER_AGENT).state()).isEqualTo(SealOutcome.State.UNKNOWN);
        assertThat(target.executions()).containsExactly(payment.attempt());
    }

    @ParameterizedTest
    @EnumSource(Ran.class)
    void aFailureIsRecordedWithTheExecutionStatementOfTheTarget(Ran ran) {
        StageDispatch payment = fixture.nonIdempotentDispatch();
        RecordingListener listener = fixture.send(payment);

        target.fail(payment.attempt(), ErrorKind.TARGET_FAILED, ran);

        assertThat(listener.outcomes()).hasSize(1).first().satisfies(outcome -> assertThat(outcome.ran())
                .isEqualTo(ran));
        assertThat(fixture.seal(payment.attempt(), GateFixture.AGENT).state())
                .isEqualTo(ran == Ran.NO ? SealOutcome.State.NOT_RUN : SealOutcome.State.UNKNOWN);
        fixture.send(payment);
        assertThat(target.executions()).containsExactly(payment.attempt());
    }

    @Test
    void cancelStopsIdempotentAttemptsButNotRunningNonIdempotentOnes() {
        StageDispatch payment = fixture.nonIdempotentDispatch();
        fixture.send(payment);
        RecordingListener waiting = fixture.send(fixture.idempotentDispatch());

        fixture.gate().cancel(payment.attempt());
        fixture.gate().cancel(new AttemptId(GateFixture.ENTRY, 2));

        assertThat(target.cancelled()).isEmpty();
        assertThat(waiting.outcomes()).containsExactly(new StageRefused(ErrorKind.CANCELLED, Duration.ZERO));
        target.complete(payment.attempt(), "receipt");
        StageDispatch read = fixture.idempotentDispatch();
        RecordingListener running = fixture.send(read);
        fixture.gate().cancel(read.attempt());
        assertThat(target.cancelled()).containsExactly(read.attempt());
        assertThat(running.outcomes()).containsExactly(new StageFailed(ErrorKind.CANCELLED, Ran.UNKNOWN));
        assertThat(fixture.gate().inFlight()).isZero();
    }

    @Test
    void chunksCarryOffsetsAndGrantsReachTheCall() {
        StageDispatch read = fixture.idempotentDispatch();
        RecordingListener listener = fixture.send(read);

        target.listener(read.attempt()).chunk(Payload.ofUtf8("ab"));
        target.listener(read.attempt()).chunk(Payload.ofUtf8("c"));
        fixture.gate().grant(read.attempt(), 3);
        target.complete(read.attempt(), "abc");

        assertThat(listener.chunks()).containsExactly("0:ab", "2:c");
        assertThat(target.grantedBytes()).isEqualTo(3);
    }

    @Test
    void aNonIdempotentCallMayExceedItsBudgetSoThatItsResultIsStored() {
        fixture.send(fixture.nonIdempotentDispatch());
        assertThat(target.budgets()).containsExactly(Duration.ofSeconds(11));
    }
}
