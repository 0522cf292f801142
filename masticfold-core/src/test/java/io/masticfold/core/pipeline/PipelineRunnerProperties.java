package io.masticfold.core.pipeline;

import static io.masticfold.core.pipeline.PipelineSimulation.PAY;
import static io.masticfold.core.pipeline.PipelineSimulation.READ;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.error.Ran;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;

/** Checks the invariants of requests over random histories of retries, faults and restarts at two entries. */
@Tag("property")
final class PipelineRunnerProperties {

    private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

    /** Lists the actions that make up a history. */
    enum Action {
        PAY_AT_FIRST,
        PAY_AT_SECOND,
        READ_AND_PAY,
        READ_STREAM,
        PAUSE,
        LOSE_LINK,
        RESTORE_LINKS,
        RESTART_AGENT,
        SET_BEHAVIOR,
        STORE_DOWN,
        STORE_UP,
        STORE_FAULT,
        STORE_SLOW
    }

    /**
     * Holds one step of a history.
     *
     * @param action the action
     * @param choice selects the key, agent, behavior or fault that the action applies to
     * @param thenMillis time that passes after the action, in milliseconds
     */
    record Step(Action action, int choice, int thenMillis) {}

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Integer> millis = Arbitraries.oneOf(
                Arbitraries.integers().between(0, 8), Arbitraries.integers().between(0, 900));
        return Combinators.combine(
                        Arbitraries.of(Action.class), Arbitraries.integers().between(0, 59), millis)
                .as(Step::new)
                .list()
                .ofMinSize(4)
                .ofMaxSize(40);
    }

    @Property(seed = "20261204", tries = 3000)
    void everyHistoryKeepsTheInvariants(@ForAll("histories") List<Step> history) {
        PipelineSettings settings = PipelineSettings.defaults("za").withHedgeDelay(Duration.ofMillis(30));
        PipelineSimulation simulation = new PipelineSimulation(settings, null);
        for (Step step : history) {
            perform(simulation, step);
            simulation.scheduler.advance(Duration.ofMillis(step.thenMillis()));
        }
        simulation.scheduler.advance(SETTLING_TIME);

        assertRunsAtMostOnce(simulation);
        simulation.answers.forEach(answer -> assertAnsweredOnceAndCorrectly(simulation, answer));
        if (history.stream().noneMatch(step -> step.action() == Action.PAUSE)) {
            simulation.answers.forEach(answer -> assertThat(answer.answeredNanos)
                    .isLessThanOrEqualTo(answer.request.deadline().expiryNanos()));
        }
        assertAttemptsUniqueAndWithinWindow(simulation);
        simulation.entries.forEach(PipelineRunnerProperties::assertWithinRetryBudget);
        assertThat(simulation.entries)
                .allSatisfy(entry -> assertThat(entry.inFlight).isZero());
    }

    private static void perform(PipelineSimulation simulation, Step step) {
        int choice = step.choice();
        String key = "k" + choice % 2;
        FakeAgent agent = simulation.agent(choice % simulation.agents.size());
        switch (step.action()) {
            case PAY_AT_FIRST -> simulation.submit(0, key, PAY);
            case PAY_AT_SECOND -> simulation.submit(1, key, PAY);
            case READ_AND_PAY -> simulation.submit(choice % 2, "r" + key, READ, PAY);
            case READ_STREAM ->
                simulation.submit(
                        choice % 2, null, "a stream of several chunks", true, PipelineSimulation.WINDOW, READ);
            case PAUSE -> simulation.scheduler.pause(Duration.ofMillis(40L * choice));
            case LOSE_LINK ->
                simulation
                        .entries
                        .get(choice % 2)
                        .links
                        .get(choice % simulation.agents.size())
                        .lose();
            case RESTORE_LINKS -> simulation.entries.forEach(entry -> entry.links.forEach(link -> link.up = true));
            case RESTART_AGENT -> {
                agent.restart();
                simulation.entries.forEach(entry ->
                        entry.links.stream().filter(link -> link.agent == agent).forEach(FakeAgentLink::lose));
            }
            case SET_BEHAVIOR -> agent.behaviors.add(pick(FakeAgent.Behavior.values(), choice));
            case STORE_DOWN -> simulation.store.down = true;
            case STORE_UP -> {
                simulation.store.down = false;
                simulation.store.latency = Duration.ofMillis(2);
            }
            case STORE_FAULT -> simulation.store.faults.add(pick(FakeClaimStore.Fault.values(), choice));
            case STORE_SLOW -> simulation.store.latency = Duration.ofMillis(20L * choice);
            default -> throw new IllegalStateException("unknown action: " + step.action());
        }
    }

    private static <T> T pick(T[] values, int choice) {
        return values[choice / 3 % values.length];
    }

    private static void assertRunsAtMostOnce(PipelineSimulation simulation) {
        Map<Payload, Long> payments = simulation.executed.stream()
                .filter(dispatch -> !dispatch.idempotent())
                .collect(Collectors.groupingBy(StageDispatch::body, Collectors.counting()));
        assertThat(payments)
                .allSatisfy((body, count) -> assertThat(count).as(body.utf8()).isEqualTo(1));
    }

    private static void assertAnsweredOnceAndCorrectly(PipelineSimulation simulation, RecordedAnswer answer) {
        PipelineRequest request = answer.request;
        assertThat(answer.answers).as("answers to %s", request.requestId()).isEqualTo(1);

        answer.failure().ifPresent(failure -> {
            assertThat(failure.ran() == Ran.NO && simulation.ran(request, false))
                    .as("not run: %s", failure)
                    .isFalse();
            assertThat(failure.effects() == Ran.NO && simulation.ran(request, true))
                    .as("no effects: %s", failure)
                    .isFalse();
        });
        Payload expected = request.body();
        for (int i = 0; i < request.pipeline().stages().size(); i++) {
            expected = FakeAgent.result(expected);
        }
        Payload expectedOutput = expected;
        answer.result().ifPresent(result -> {
            assertThat(result.output()).isEqualTo(expectedOutput);
            assertThat(request.streaming() ? answer.streamed() : expectedOutput.utf8())
                    .isEqualTo(expectedOutput.utf8());
        });
    }

    /** Each stage may have its first attempt and one free retry after a refusal; the budget must grant all others. */
    private static void assertWithinRetryBudget(FakeEntry entry) {
        int dispatched =
                entry.links.stream().mapToInt(link -> link.dispatched.size()).sum();
        assertThat(dispatched)
                .isLessThanOrEqualTo(entry.retryBudget.earned
                        + Math.min(entry.retryBudget.earned, entry.refusals)
                        + entry.retryBudget.granted);
    }

    private static void assertAttemptsUniqueAndWithinWindow(PipelineSimulation simulation) {
        assertThat(simulation.dispatches()).extracting(StageDispatch::attempt).doesNotHaveDuplicates();
        Map<String, PipelineRequest> requests = simulation.answers.stream()
                .map(answer -> answer.request)
                .collect(Collectors.toMap(PipelineRequest::requestId, Function.identity()));
        long windowMicros = PipelineSimulation.WINDOW.toNanos() / 1000;
        assertThat(simulation.dispatches())
                .allSatisfy(dispatch -> assertThat(dispatch.budgetMicros()).isBetween(1L, windowMicros))
                .allSatisfy(dispatch -> assertThat(requests).containsKey(dispatch.requestId()));
    }
}
