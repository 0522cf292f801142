package io.masticfold.core.pipeline;

import static io.masticfold.core.pipeline.PipelineWorld.PAY;
import static io.masticfold.core.pipeline.PipelineWorld.READ;
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

    private final PipelineWorld world = new PipelineWorld();

    @Test
    void replaysTheKeptResultAtAnotherEntryEvenWithoutTheAgent() {
        assertThat(world.run(0, "k", PAY).output()).isEqualTo(RESULT);
        world.agents.forEach(FakeAgent::restart);

        assertThat(world.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    @Test
    void refusesAKeyUsedWithAnotherBody() {
        world.run(0, "k", PAY);
        RecordedAnswer reused = world.submit(1, "k", "other", false, PipelineWorld.WINDOW, PAY);
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(reused.summary()).isEqualTo("idempotency_key_reused no no");
    }

    /**
     * Guards against a claim bound to the input of the stage instead of the request body: a nondeterministic earlier
     * stage would then make the idempotency key unusable for retries.
     */
    @Test
    void replaysWhenAnEarlierStageAnswersDifferently() {
        Stage first = new Stage("first", "pool", true, 0, 1, false);
        world.run(0, "k", first, PAY);

        assertThat(world.run(1, "k", first, PAY).output()).isEqualTo("<<" + BODY + ">>");
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " "})
    void needsAKeyBeforeAnyStageStarts(String key) {
        assertThat(world.run(0, key, READ, PAY).summary()).isEqualTo("idempotency_key_missing no no");
        assertThat(world.run(0, null, READ, PAY).summary()).isEqualTo("idempotency_key_missing no no");
        assertThat(world.dispatches()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void refusesAsNotRunWhileTheStoreIsDown(boolean known, int operations) {
        world.store.down = true;
        world.store.knownDown = known;

        RecordedAnswer answer = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(1));

        assertThat(answer.summary()).isEqualTo("claim_store_unavailable no no");
        assertThat(answer.failure().orElseThrow().retryAfter()).isEqualTo(Duration.ofSeconds(2));
        assertThat(world.store.operations).isEqualTo(operations);
        assertThat(world.dispatches()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(FakeClaimStore.Fault.class)
    void settlesALostCreateByReadingBack(FakeClaimStore.Fault fault) {
        world.store.faults.add(fault);

        assertThat(world.run(0, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(FakeClaimStore.Fault.class)
    void movesTheClaimAfterARefusalBeforeTheNextDispatch(FakeClaimStore.Fault fault) {
        world.agent(0).plans.add(FakeAgent.Plan.REFUSE);
        RecordedAnswer answer = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(2));
        world.store.faults.add(fault);
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(answer.output()).isEqualTo(RESULT);
        assertThat(world.store.only().target()).isEqualTo("b");
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    /** Guards against a dispatch without an acquired claim when every reply of the store is lost. */
    @Test
    void dispatchesNothingWithoutASettledClaim() {
        world.store.latency = Duration.ofSeconds(3);

        RecordedAnswer answer = world.run(0, "k", PAY);
        world.scheduler.advance(Duration.ofSeconds(5));
        assertThat(answer.summary()).isEqualTo("deadline_expired no no");
        assertThat(world.dispatches()).isEmpty();
        assertThat(world.store.empty()).isFalse();

        world.store.latency = Duration.ofMillis(2);
        assertThat(world.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    /** Guards against a late dispatch by an entry that was paused while its claim was created. */
    @ParameterizedTest
    @CsvSource({"1494, budget_too_short no no", "1600, deadline_expired no no"})
    void dispatchesNothingAfterAPauseThatSpentTheBudget(int pauseMillis, String summary) {
        RecordedAnswer answer = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(1));
        world.scheduler.pause(Duration.ofMillis(pauseMillis));
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(answer.summary()).isEqualTo(summary);
        assertThat(world.dispatches()).isEmpty();
        assertThat(world.store.only().attempt().counter()).isEqualTo(1);
        assertThat(world.run(1, "k", PAY).output()).isEqualTo(RESULT);
    }

    @ParameterizedTest
    @CsvSource({
        "FAIL, target_failed yes yes, target_failed yes yes",
        "BREAK, outcome_unknown unknown unknown, outcome_unknown unknown unknown"
    })
    void neverRunsAFailedAttemptAgain(FakeAgent.Plan plan, String first, String second) {
        world.agent(0).plans.add(plan);

        assertThat(world.run(0, "k", PAY).summary()).isEqualTo(first);
        assertThat(world.run(1, "k", PAY).summary()).isEqualTo(second);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    @Test
    void answersInProgressWhileAnotherEntryRunsIt() {
        world.agent(0).plans.add(FakeAgent.Plan.STALL);
        RecordedAnswer first = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(20));
        RecordedAnswer second = world.submit(1, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(20));

        assertThat(second.summary()).isEqualTo("in_progress unknown unknown");
        world.scheduler.advance(Duration.ofSeconds(4));
        assertThat(first.summary()).isEqualTo("stage_timeout unknown unknown");
        assertThat(world.entry().count("late_outcome")).isEqualTo(1);
        assertThat(world.run(1, "k", PAY).output()).isEqualTo(RESULT);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    /** Guards against running an attempt again when the loss of its link left the outcome unknown. */
    @ParameterizedTest
    @CsvSource({"false, completed", "true, outcome_unknown unknown unknown"})
    void asksTheNamedAgentAfterALostLink(boolean restarted, String retried) {
        RecordedAnswer lost = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(5));
        world.entry().links.get(0).lose();
        if (restarted) {
            world.agent(0).restart();
        }
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(lost.summary()).isEqualTo("outcome_unknown unknown unknown");
        assertThat(world.run(1, "k", PAY).summary()).isEqualTo(retried);
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    @Test
    void answersUnknownWhenTheNamedAgentCannotBeReached() {
        world.agent(0).plans.add(FakeAgent.Plan.STALL);
        world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofMillis(20));
        world.entries.get(1).links.get(0).lose();

        assertThat(world.run(1, "k", PAY).summary()).isEqualTo("outcome_unknown unknown unknown");
        assertThat(world.payments(BODY)).isEqualTo(1);
    }

    /** Guards against a race of two entries for one key in which each seals the other's attempt and neither runs it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 500, 1000, 1500, 2000, 2500, 3000, 4000, 6000, 9000})
    void runsOnceWhenTwoEntriesRace(int offsetMicros) {
        RecordedAnswer first = world.submit(0, "k", PAY);
        world.scheduler.advance(Duration.ofNanos(offsetMicros * 1000L));
        RecordedAnswer second = world.submit(1, "k", PAY);
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(world.payments(BODY)).isEqualTo(1);
        assertThat(first.answers + second.answers).isEqualTo(2);
        assertThat(first.result().isPresent() || second.result().isPresent()).isTrue();
        assertThat(List.of(first.summary(), second.summary())).isSubsetOf("completed", "in_progress unknown unknown");
    }
}
