package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.retry.RetryBudgetSettings;
import io.masticfold.core.retry.TokenBucketRetryBudget;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** Simulates two entries, three agents and one claim store in virtual time. */
final class PipelineSimulation {

    static final Duration WINDOW = Duration.ofMillis(1500);
    static final Stage READ = new Stage("read", "pool", true, 10, 1, true);
    static final Stage PAY = new Stage("pay", "pool", false, 10, 1, false);

    private static final Contract CONTRACT =
            new Contract("c", "farm", "0".repeat(64), 8000, 1, 5, 100, 100, 100, List.of());

    final ManualScheduler scheduler = new ManualScheduler();
    final FakeClaimStore store = new FakeClaimStore(scheduler);
    final List<StageDispatch> executed = new ArrayList<>();
    final List<RecordedAnswer> answers = new ArrayList<>();
    final List<FakeAgent> agents = Stream.of("a", "b", "c")
            .map(name -> new FakeAgent(name, scheduler, executed))
            .toList();
    final List<FakeEntry> entries;

    PipelineSimulation(PipelineSettings settings, @Nullable RetryBudget retryBudget) {
        this.entries = Stream.of(1L, 2L)
                .map(number -> new FakeEntry(number, agents, store, scheduler, settings, orDefault(retryBudget)))
                .toList();
    }

    PipelineSimulation() {
        this(PipelineSettings.defaults("za"), null);
    }

    private RetryBudget orDefault(@Nullable RetryBudget retryBudget) {
        return retryBudget == null ? new TokenBucketRetryBudget(scheduler, RetryBudgetSettings.DEFAULT) : retryBudget;
    }

    FakeAgent agent(int index) {
        return agents.get(index);
    }

    FakeEntry entry() {
        return entries.get(0);
    }

    RecordedAnswer submit(int entry, @Nullable String key, Stage... stages) {
        return submit(entry, key, key == null ? "body" : "body of " + key, false, WINDOW, stages);
    }

    RecordedAnswer submit(
            int entry, @Nullable String key, String body, boolean streaming, Duration window, Stage... stages) {
        PipelineRequest request = new PipelineRequest(
                "request-" + answers.size(),
                CONTRACT,
                new Pipeline("p", List.of(stages), 1000),
                key,
                Payload.ofUtf8(body),
                streaming,
                Deadline.after(scheduler, window));
        RecordedAnswer answer = new RecordedAnswer(request, scheduler);
        answers.add(answer);
        answer.running = entries.get(entry).runner.submit(request, scheduler, answer);
        return answer;
    }

    RecordedAnswer run(int entry, @Nullable String key, Stage... stages) {
        RecordedAnswer answer = submit(entry, key, stages);
        scheduler.advance(WINDOW);
        return answer;
    }

    /** Returns the number of executions of the non-idempotent stage for a request body. */
    long payments(String body) {
        return executed.stream()
                .filter(dispatch ->
                        !dispatch.idempotent() && dispatch.body().utf8().contains(body))
                .count();
    }

    /** Returns whether a target ran a stage of a request, optionally considering non-idempotent stages only. */
    boolean ran(PipelineRequest request, boolean nonIdempotentOnly) {
        return executed.stream()
                .filter(dispatch -> dispatch.requestId().equals(request.requestId()))
                .anyMatch(dispatch -> !nonIdempotentOnly || !dispatch.idempotent());
    }

    List<StageDispatch> dispatches() {
        return entries.stream()
                .flatMap(entry -> entry.links.stream())
                .flatMap(link -> link.dispatched.stream())
                .toList();
    }
}
