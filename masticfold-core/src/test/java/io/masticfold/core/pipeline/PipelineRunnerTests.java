package io.masticfold.core.pipeline;

import static io.masticfold.core.pipeline.PipelineSimulation.PAY;
import static io.masticfold.core.pipeline.PipelineSimulation.READ;
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

    private static final RetryBudget EXHAUSTED_BUDGET = new RetryBudget() {
        @Override
        public void deposit() {}

        @Override
        public boolean tryWithdraw() {
            return false;
        }
    };

    private final PipelineSimulation simulation = new PipelineSimulation();

    @Test
    void passesEachResultToTheNextStage() {
        Stage second = new Stage("second", "pool", true, 0, 1, false);

        RecordedAnswer answer = simulation.run(0, null, READ, second);

        assertThat(answer.output()).isEqualTo("<<body>>");
        assertThat(answer.result().orElseThrow().stages())
                .extracting(StageReport::name)
                .containsExactly("read", "second");
        assertThat(simulation.entry().inFlight).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "REFUSE, completed, 2",
        "FAIL, completed, 2",
        "DISCONNECT, completed, 2",
        "REFUSE REFUSE REFUSE, queue_full no no, 3",
        "REFUSE FAIL REFUSE, queue_full yes no, 3",
        "FAIL FAIL, retry_budget_spent yes no, 2"
    })
    void retriesAtOtherTargetsWithinTheBudget(String behaviors, String summary, int dispatches) {
        setBehaviors(behaviors);

        assertThat(simulation.run(0, null, READ).summary()).isEqualTo(summary);
        assertThat(simulation.dispatches()).hasSize(dispatches);
        assertThat(simulation.dispatches().stream()
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
    void exhaustedBudgetAllowsOnlyTheRetryOfTheFirstRefusal(String behaviors, String summary, int dispatches) {
        PipelineSimulation simulationWithoutBudget =
                new PipelineSimulation(PipelineSettings.defaults("za"), EXHAUSTED_BUDGET);
        String[] names = behaviors.split(" ");
        for (int i = 0; i < names.length; i++) {
            simulationWithoutBudget.agent(i).behaviors.add(FakeAgent.Behavior.valueOf(names[i]));
        }

        assertThat(simulationWithoutBudget.run(0, null, READ).summary()).isEqualTo(summary);
        assertThat(simulationWithoutBudget.dispatches()).hasSize(dispatches);
    }

    @ParameterizedTest
    @CsvSource({"5, budget_too_short no no, 0, 0", "100, stage_timeout unknown no, 100, 1"})
    void endsAtTheDeadlineAndCancels(int windowMillis, String summary, int answeredMillis, int cancels) {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.STALL);

        RecordedAnswer answer = simulation.submit(0, null, "body", false, Duration.ofMillis(windowMillis), READ);
        simulation.scheduler.advance(Duration.ofSeconds(5));

        assertThat(answer.summary()).isEqualTo(summary);
        assertThat(answer.answeredNanos)
                .isEqualTo(Duration.ofMillis(answeredMillis).toNanos());
        assertThat(answer.failure().orElseThrow().retryAfter()).isPositive();
        assertThat(simulation.entry().links.get(0).cancelled).hasSize(cancels);
        assertThat(simulation.entry().inFlight).isZero();
    }

    /** Guards against ignoring the minimum times of later stages: they count before the first stage starts. */
    @Test
    void refusesBeforeTheFirstStageWhenLaterMinimumsDoNotFit() {
        Stage late = new Stage("late", "pool", true, 1495, 1, false);

        assertThat(simulation.run(0, null, READ, late).summary()).isEqualTo("budget_too_short no no");
        assertThat(simulation.dispatches()).isEmpty();
    }

    @Test
    void countsAndDropsASecondOutcome() {
        RecordedAnswer answer = simulation.run(0, null, READ);
        FakeAgentLink link = simulation.entry().links.get(0);
        link.listeners.get(0).outcome(new StageCompleted(Payload.ofUtf8("other"), 1), TargetLoad.UNKNOWN);
        simulation.scheduler.advance(Duration.ofMillis(1));

        assertThat(answer.output()).isEqualTo("<body>");
        assertThat(answer.answers).isEqualTo(1);
        assertThat(simulation.entry().count("late_outcome")).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"true, 54, 2", "false, 1500, 1"})
    void hedgesASlowAttemptWithinTheRetryBudget(boolean budget, int answeredMillis, int dispatches) {
        PipelineSettings settings = PipelineSettings.defaults("za").withHedgeDelay(Duration.ofMillis(47));
        PipelineSimulation hedgingSimulation = new PipelineSimulation(settings, budget ? null : EXHAUSTED_BUDGET);
        hedgingSimulation.agent(0).behaviors.add(FakeAgent.Behavior.STALL);

        RecordedAnswer answer = hedgingSimulation.run(0, null, READ);
        hedgingSimulation.scheduler.advance(Duration.ofSeconds(5));

        assertThat(answer.answers).isEqualTo(1);
        assertThat(answer.answeredNanos)
                .isEqualTo(Duration.ofMillis(answeredMillis).toNanos());
        assertThat(hedgingSimulation.dispatches()).hasSize(dispatches);
        assertThat(hedgingSimulation.entry().links.get(0).cancelled).hasSize(1);
    }

    @Test
    void resumesABrokenStreamWithoutRepeatingBytes() {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.BREAK_STREAM);

        RecordedAnswer answer =
                simulation.submit(0, null, "a body of several chunks", true, PipelineSimulation.WINDOW, READ);
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(answer.streamed()).isEqualTo("<a body of several chunks>");
        assertThat(answer.output()).isEqualTo(answer.streamed());
        assertThat(simulation.dispatches())
                .extracting(dispatch -> dispatch.resumeOffset())
                .containsExactly(0L, (long) FakeAgent.CHUNK_BYTES);
    }

    /** Guards against too large a grant to the second target: it must not include bytes of the first attempt. */
    @Test
    void grantsOnlyWhatTheOpenAttemptSent() {
        simulation.agent(0).behaviors.add(FakeAgent.Behavior.BREAK_STREAM);
        simulation.agent(1).behaviors.add(FakeAgent.Behavior.STALL);
        RecordedAnswer answer =
                simulation.submit(0, null, "a body of several chunks", true, PipelineSimulation.WINDOW, READ);
        simulation.scheduler.advance(Duration.ofMillis(100));

        answer.running().consumed(FakeAgent.CHUNK_BYTES);
        assertThat(simulation.entry().links.get(1).granted).isEmpty();

        answer.running().consumed(3);
        assertThat(simulation.entry().links.get(1).granted.values()).containsExactly(3);
        assertThat(simulation.entry().links.get(0).granted).isEmpty();
    }

    @Test
    void cancelEndsTheRequestOnce() {
        RecordedAnswer answer = simulation.submit(0, null, READ);
        simulation.scheduler.advance(Duration.ofMillis(2));

        answer.running().cancel();
        answer.running().cancel();
        simulation.scheduler.advance(PipelineSimulation.WINDOW);

        assertThat(answer.answers).isEqualTo(1);
        assertThat(answer.summary()).isEqualTo("cancelled unknown no");
    }

    @Test
    void failsWithoutAnyTarget() {
        simulation.entry().links.forEach(FakeAgentLink::lose);

        assertThat(simulation.run(0, null, READ).summary()).isEqualTo("no_target no no");
        assertThat(simulation.run(0, "k", PAY).summary()).isEqualTo("no_target no no");
    }

    private void setBehaviors(String behaviors) {
        String[] names = behaviors.split(" ");
        for (int i = 0; i < names.length; i++) {
            simulation.agent(i).behaviors.add(FakeAgent.Behavior.valueOf(names[i]));
        }
    }
}
