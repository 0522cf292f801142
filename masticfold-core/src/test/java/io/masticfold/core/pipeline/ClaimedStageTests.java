package io.masticfold.core.pipeline;

import static io.masticfold.core.pipeline.PipelineSimulation.PAY;
import static io.masticfold.core.pipeline.PipelineSimulation.READ;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.model.Stage;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the claims of non-idempotent stages: what is dispatched, replayed or refused in each case. */
final class ClaimedStageTests {

    private static final String BODY = "body of k";
    private static final String RESULT = "<" + BODY + ">";

    private final PipelineSimulation simulation = new PipelineSimulation();

    @Test
    void replaysTheStoredResultAtAnotherEntryEvenWithoutTheAgent() {
        assertThat(simulation.run(0, "k", PAY).output()).isEqualTo(RESULT);
        simulation.agents.forEach(FakeAgent::restart);

        assertThat(simulation.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    @Test
    void refusesAKeyUsedWithAnotherBody() {
        simulation.run(0, "k", PAY);
        RecordedAnswer reused = simulation.submit(1, "k", "other", false, PipelineSimulation.WINDOW, PAY);
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(reused.summary()).isEqualTo("idempotency_key_reused no no");
    }

    /**
     * Guards against a claim bound to the input of the stage instead of the request body: a nondeterministic earlier
     * stage would then make the idempotency key unusable for retries.
     */
    @Test
    void replaysWhenAnEarlierStageAnswersDifferently() {
        Stage first = new Stage("first", "pool", true, 0, 1, false);
        simulation.run(0, "k", first, PAY);

        assertThat(simulation.run(1, "k", first, PAY).output()).isEqualTo("<<" + BODY + ">>");
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " "})
    void requiresAKeyBeforeAnyStageStarts(String key) {
        assertThat(simulation.run(0, key, READ, PAY).summary()).isEqualTo("idempotency_key_missing no no");
        assertThat(simulation.run(0, null, READ, PAY).summary()).isEqualTo("idempotency_key_missing no no");
        assertThat(simulation.dispatches()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void refusesAsNotRunWhileTheStoreIsDown(boolean known, int operations) {
        simulation.store.down = true;
        simulation.store.knownDown = known;

        RecordedAnswer answer = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(1));

        assertThat(answer.summary()).isEqualTo("claim_store_unavailable no no");
        assertThat(answer.failure().orElseThrow().retryAfter()).isEqualTo(Duration.ofSeconds(2));
        assertThat(simulation.store.operations).isEqualTo(operations);
        assertThat(simulation.dispatches()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(FakeClaimStore.Fault.class)
    void recoversALostCreateByReadingBack(FakeClaimStore.Fault fault) {
        simulation.store.faults.add(fault);

        assertThat(simulation.run(0, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(FakeClaimStore.Fault.class)
    void movesTheClaimAfterARefusalBeforeTheNextDispatch(FakeClaimStore.Fault fault) {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.REFUSE);
        RecordedAnswer answer = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(2));
        simulation.store.faults.add(fault);
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(answer.output()).isEqualTo(RESULT);
        assertThat(simulation.store.onlyClaim().target()).isEqualTo("b");
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    /**
     * Guards against a dispatch without an acquired claim when the store answers nothing in time, although its writes
     * take effect later.
     */
    @Test
    void dispatchesNothingWithoutAnAcquiredClaim() {
        simulation.store.latency = Duration.ofSeconds(3);

        RecordedAnswer answer = simulation.run(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofSeconds(5));
        assertThat(answer.summary()).isEqualTo("deadline_expired no no");
        assertThat(simulation.dispatches()).isEmpty();
        assertThat(simulation.store.empty()).isFalse();

        simulation.store.latency = Duration.ofMillis(2);
        assertThat(simulation.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    /** Guards against a late dispatch by an entry that was paused while its claim was created. */
    @ParameterizedTest
    @CsvSource({"1494, budget_too_short no no", "1600, deadline_expired no no"})
    void dispatchesNothingAfterAPauseThatUsedUpTheRemainingTime(int pauseMillis, String summary) {
        RecordedAnswer answer = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(1));
        simulation.scheduler.pause(Duration.ofMillis(pauseMillis));
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(answer.summary()).isEqualTo(summary);
        assertThat(simulation.dispatches()).isEmpty();
        assertThat(simulation.store.onlyClaim().attempt().counter()).isEqualTo(1);
        assertThat(simulation.run(1, "k", PAY).output()).isEqualTo(RESULT);
    }

    @ParameterizedTest
    @CsvSource({
        "FAIL, target_failed yes yes, target_failed yes yes",
        "DISCONNECT, outcome_unknown unknown unknown, outcome_unknown unknown unknown"
    })
    void neverRunsAFailedAttemptAgain(FakeAgent.Behavior behavior, String first, String second) {
        simulation.agent(0).behaviors.add(behavior);

        assertThat(simulation.run(0, "k", PAY).summary()).isEqualTo(first);
        assertThat(simulation.run(1, "k", PAY).summary()).isEqualTo(second);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    @Test
    void reportsInProgressWhileAnotherEntryRunsTheStage() {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.STALL);
        RecordedAnswer first = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(20));
        RecordedAnswer second = simulation.submit(1, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(20));

        assertThat(second.summary()).isEqualTo("in_progress unknown unknown");
        simulation.scheduler.advance(Duration.ofSeconds(4));
        assertThat(first.summary()).isEqualTo("stage_timeout unknown unknown");
        assertThat(simulation.entry().count("late_outcome")).isEqualTo(1);
        assertThat(simulation.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    /** Guards against running an attempt again when the loss of its link left the outcome unknown. */
    @ParameterizedTest
    @CsvSource({"false, completed", "true, outcome_unknown unknown unknown"})
    void asksTheAgentOfTheClaimAfterALostLink(boolean restarted, String retried) {
        RecordedAnswer lost = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(5));
        simulation.entry().links.get(0).lose();
        if (restarted) {
            simulation.agent(0).restart();
        }
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(lost.summary()).isEqualTo("outcome_unknown unknown unknown");
        assertThat(simulation.run(1, "k", PAY).summary()).isEqualTo(retried);
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    @Test
    void reportsUnknownIfTheAgentOfTheClaimCannotBeReached() {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.STALL);
        simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofMillis(20));
        simulation.entries.get(1).links.get(0).lose();

        assertThat(simulation.run(1, "k", PAY).summary()).isEqualTo("outcome_unknown unknown unknown");
        assertThat(simulation.payments(BODY)).isEqualTo(1);
    }

    /** Guards against a race of two entries for one key in which each seals the other's attempt and neither runs it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 500, 1000, 1500, 2000, 2500, 3000, 4000, 6000, 9000})
    void runsOnceWhenTwoEntriesRace(int offsetMicros) {
        RecordedAnswer first = simulation.submit(0, "k", PAY);
        simulation.scheduler.advance(Duration.ofNanos(offsetMicros * 1000L));
        RecordedAnswer second = simulation.submit(1, "k", PAY);
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(simulation.payments(BODY)).isEqualTo(1);
        assertThat(first.answers + second.answers).isEqualTo(2);
        assertThat(first.result().isPresent() || second.result().isPresent()).isTrue();
        assertThat(List.of(first.summary(), second.summary())).isSubsetOf("completed", "in_progress unknown unknown");
    }
}
