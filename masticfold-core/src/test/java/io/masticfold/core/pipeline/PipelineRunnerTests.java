package io.masticfold.core.pipeline;

import static io.masticfold.core.pipeline.PipelineWorld.PAY;
import static io.masticfold.core.pipeline.PipelineWorld.READ;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.model.Stage;
import io.masticfold.core.retry.RetryBudget;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the execution of idempotent stages: order, retries, hedging, streams and the deadline. */
final class PipelineRunnerTests {

    private static final RetryBudget SPENT = new RetryBudget() {
        @Override
        public void earn() {}

        @Override
        public boolean spend() {
            return false;
        }
    };

    private final PipelineWorld world = new PipelineWorld();

    @Test
    void feedsEachResultToTheNextStage() {
        Stage second = new Stage("second", "pool", true, 0, 1, false);

        RecordedAnswer answer = world.run(0, null, READ, second);

        assertThat(answer.output()).isEqualTo("<<body>>");
        assertThat(answer.result().orElseThrow().stages())
                .extracting(StageReport::name)
                .containsExactly("read", "second");
        assertThat(world.entry().inFlight).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "REFUSE, completed, 2",
        "FAIL, completed, 2",
        "BREAK, completed, 2",
        "REFUSE REFUSE REFUSE, queue_full no no, 3",
        "REFUSE FAIL REFUSE, queue_full yes no, 3",
        "FAIL FAIL, retry_budget_spent yes no, 2"
    })
    void retriesElsewhereWithinTheBudget(String plans, String summary, int dispatches) {
        plan(plans);

        assertThat(world.run(0, null, READ).summary()).isEqualTo(summary);
        assertThat(world.dispatches()).hasSize(dispatches);
        assertThat(world.dispatches().stream()
                        .map(dispatch -> dispatch.target())
                        .distinct())
                .hasSize(dispatches);
    }

    /** Guards against a retry storm: without budget, only the first refusal is followed by another attempt. */
    @ParameterizedTest
    @CsvSource({
        "REFUSE, completed, 2",
        "REFUSE REFUSE, retry_budget_spent no no, 2",
        "FAIL, retry_budget_spent yes no, 1"
    })
    void aSpentBudgetAllowsTheFirstRefusalOnly(String plans, String summary, int dispatches) {
        PipelineWorld spent = new PipelineWorld(PipelineSettings.defaults("za"), SPENT);
        String[] names = plans.split(" ");
        for (int i = 0; i < names.length; i++) {
            spent.agent(i).plans.add(FakeAgent.Plan.valueOf(names[i]));
        }

        assertThat(spent.run(0, null, READ).summary()).isEqualTo(summary);
        assertThat(spent.dispatches()).hasSize(dispatches);
    }

    @ParameterizedTest
    @CsvSource({"5, budget_too_short no no, 0, 0", "100, stage_timeout unknown no, 100, 1"})
    void endsAtTheDeadlineAndCancels(int windowMillis, String summary, int answeredMillis, int cancels) {
        world.agent(0).plans.add(FakeAgent.Plan.STALL);

        RecordedAnswer answer = world.submit(0, null, "body", false, Duration.ofMillis(windowMillis), READ);
        world.scheduler.advance(Duration.ofSeconds(5));

        assertThat(answer.summary()).isEqualTo(summary);
        assertThat(answer.answeredNanos)
                .isEqualTo(Duration.ofMillis(answeredMillis).toNanos());
        assertThat(answer.failure().orElseThrow().retryAfter()).isPositive();
        assertThat(world.entry().links.get(0).cancelled).hasSize(cancels);
        assertThat(world.entry().inFlight).isZero();
    }

    /** Guards against ignoring the minimum times of later stages: they count before the first stage starts. */
    @Test
    void refusesBeforeTheFirstStageWhenLaterMinimumsDoNotFit() {
        Stage late = new Stage("late", "pool", true, 1495, 1, false);

        assertThat(world.run(0, null, READ, late).summary()).isEqualTo("budget_too_short no no");
        assertThat(world.dispatches()).isEmpty();
    }

    @Test
    void countsAndDropsASecondOutcome() {
        RecordedAnswer answer = world.run(0, null, READ);
        FakeAgentLink link = world.entry().links.get(0);
        link.listeners.get(0).outcome(new StageCompleted(Payload.ofUtf8("other"), 1), TargetLoad.UNKNOWN);
        world.scheduler.advance(Duration.ofMillis(1));

        assertThat(answer.output()).isEqualTo("<body>");
        assertThat(answer.answers).isEqualTo(1);
        assertThat(world.entry().count("late_outcome")).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"true, 54, 2", "false, 1500, 1"})
    void hedgesASlowAttemptWithinTheRetryBudget(boolean budget, int answeredMillis, int dispatches) {
        PipelineSettings settings = PipelineSettings.defaults("za").withHedgeDelay(Duration.ofMillis(47));
        PipelineWorld hedged = new PipelineWorld(settings, budget ? null : SPENT);
        hedged.agent(0).plans.add(FakeAgent.Plan.STALL);

        RecordedAnswer answer = hedged.run(0, null, READ);
        hedged.scheduler.advance(Duration.ofSeconds(5));

        assertThat(answer.answers).isEqualTo(1);
        assertThat(answer.answeredNanos)
                .isEqualTo(Duration.ofMillis(answeredMillis).toNanos());
        assertThat(hedged.dispatches()).hasSize(dispatches);
        assertThat(hedged.entry().links.get(0).cancelled).hasSize(1);
    }

    @Test
    void resumesACutStreamWithoutRepeatingBytes() {
        world.agent(0).plans.add(FakeAgent.Plan.CUT);

        RecordedAnswer answer = world.submit(0, null, "a body of several chunks", true, PipelineWorld.WINDOW, READ);
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(answer.streamed()).isEqualTo("<a body of several chunks>");
        assertThat(answer.output()).isEqualTo(answer.streamed());
        assertThat(world.dispatches())
                .extracting(dispatch -> dispatch.resumeOffset())
                .containsExactly(0L, (long) FakeAgent.CHUNK_BYTES);
    }

    /** Guards against too large a grant to the second target: it must not include bytes of the first attempt. */
    @Test
    void grantsOnlyWhatTheOpenAttemptSent() {
        world.agent(0).plans.add(FakeAgent.Plan.CUT);
        world.agent(1).plans.add(FakeAgent.Plan.STALL);
        RecordedAnswer answer = world.submit(0, null, "a body of several chunks", true, PipelineWorld.WINDOW, READ);
        world.scheduler.advance(Duration.ofMillis(100));

        answer.running().consumed(FakeAgent.CHUNK_BYTES);
        assertThat(world.entry().links.get(1).granted).isEmpty();

        answer.running().consumed(3);
        assertThat(world.entry().links.get(1).granted.values()).containsExactly(3);
        assertThat(world.entry().links.get(0).granted).isEmpty();
    }

    @Test
    void cancelEndsTheRequestOnce() {
        RecordedAnswer answer = world.submit(0, null, READ);
        world.scheduler.advance(Duration.ofMillis(2));

        answer.running().cancel();
        answer.running().cancel();
        world.scheduler.advance(PipelineWorld.WINDOW);

        assertThat(answer.answers).isEqualTo(1);
        assertThat(answer.summary()).isEqualTo("cancelled unknown no");
    }

    @Test
    void answersWithoutAnyTarget() {
        world.entry().links.forEach(FakeAgentLink::lose);

        assertThat(world.run(0, null, READ).summary()).isEqualTo("no_target no no");
        assertThat(world.run(0, "k", PAY).summary()).isEqualTo("no_target no no");
    }

    private void plan(String plans) {
        String[] names = plans.split(" ");
        for (int i = 0; i < names.length; i++) {
            world.agent(i).plans.add(FakeAgent.Plan.valueOf(names[i]));
        }
    }
}
