package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.error.Ran;
import io.masticfold.core.model.Stage;
import io.masticfold.core.routing.Route;
import io.masticfold.core.routing.RouteRequest;
import io.masticfold.core.stream.StreamReassembler;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Executes one stage of a request in one or more attempts. Outcomes are matched to attempts; an outcome that arrives
 * late or a second time is counted and discarded.
 *
 * <p>The first retry after a refusal does not consume the retry budget: a refusal costs the target nothing, and the
 * load known to the entry is always slightly out of date. Retries after further refusals consume the budget as retries
 * after failures do, because they indicate that the pool is full, and unlimited retries would multiply the messages to
 * its agents.
 */
abstract class AbstractStageRun {

    private final PipelineRun run;
    private final Stage stage;
    private final int index;
    private final Payload input;
    private final boolean streaming;
    private final StreamReassembler stream;
    private final Map<AttemptId, StageAttempt> openAttempts = new LinkedHashMap<>();
    private final Set<String> triedTargets = new HashSet<>();
    private long firstDispatchNanos;
    private int attempts;
    private boolean freeRetryUsed;
    private long consumedBytes;

    AbstractStageRun(PipelineRun run, Stage stage, int index, Payload input) {
        this.run = run;
        this.stage = stage;
        this.index = index;
        this.input = input;
        this.streaming = run.isStreamed(index, stage);
        this.stream = new StreamReassembler(run::chunk);
    }

    /** Starts the first attempt, or fails the request if the remaining time does not cover the minimum stage times. */
    void start() {
        if (run.fitsRemainingTime(index)) {
            run.context().retryBudget().deposit();
            startAttempt();
        } else {
            run.fail(
                    ErrorKind.BUDGET_TOO_SHORT,
                    "stage '" + stage.name() + "' and those after it do not fit into the remaining time",
                    Duration.ZERO);
        }
    }

    /** Starts an attempt at a target that this stage has not tried. */
    abstract void startAttempt();

    /**
     * Handles the outcome of an attempt.
     *
     * @param late whether the attempt was no longer in flight, so that the outcome cannot change the response
     */
    abstract void handleOutcome(StageAttempt attempt, StageOutcome outcome, boolean late);

    final void receiveOutcome(StageAttempt attempt, StageOutcome outcome, TargetLoad load) {
        if (!openAttempts.remove(attempt.id(), attempt)) {
            run.context().telemetry().count("late_outcome");
            handleOutcome(attempt, outcome, true);
            return;
        }
        attempt.route().release(outcome, load, elapsedNanos(attempt));
        run.executions().record(attempt.id(), ran(outcome));
        handleOutcome(attempt, outcome, false);
    }

    final void receiveChunk(StageAttempt attempt, long offset, Payload bytes) {
        if (!streaming || !openAttempts.containsKey(attempt.id())) {
            run.context().telemetry().count("late_chunk");
            return;
        }
        try {
            stream.addPart(offset, bytes);
        } catch (MasticfoldException violation) {
            cancelAttempt(attempt, new StageFailed(violation.kind(), Ran.UNKNOWN));
            failBrokenStream(violation);
        }
    }

    /** Grants each target the bytes that the caller has consumed beyond the offset at which its attempt resumed. */
    final void consumed(int bytes) {
        if (!streaming) {
            return;
        }
        long before = consumedBytes;
        consumedBytes += bytes;
        for (StageAttempt attempt : openAttempts.values()) {
            long granted = consumedBytes - Math.max(before, attempt.resumeOffset());
            if (granted > 0) {
                attempt.route().link().grant(attempt.id(), (int) granted);
            }
        }
    }

    /** Cancels all attempts in flight because the request has ended. */
    void cancelAttempts(ErrorKind reason) {
        for (StageAttempt attempt : openAttempts()) {
            cancelAttempt(attempt, new StageFailed(reason, Ran.UNKNOWN));
        }
    }

    final void cancelAttempt(StageAttempt attempt, StageOutcome outcome) {
        if (openAttempts.remove(attempt.id(), attempt)) {
            attempt.route().release(outcome, attempt.route().link().load(), elapsedNanos(attempt));
            attempt.route().link().cancel(attempt.id());
        }
    }

    /** Chooses a target that this stage has not tried, and marks it as tried. */
    final Optional<Route> chooseRoute() {
        Optional<Route> route = run.context()
                .router()
                .choose(new RouteRequest(
                        stage.pool(),
                        run.context().settings().zone(),
                        PrefixHashSupport.hash(input, run.context().settings().prefixBytes()),
                        triedTargets));
        route.ifPresent(chosen -> triedTargets.add(chosen.target().name()));
        return route;
    }

    final void dispatch(AttemptId id, Route route, Incarnation agent) {
        long now = run.context().time().nanoTime();
        if (attempts++ == 0) {
            firstDispatchNanos = now;
        }
        long resumeOffset = stream.delivered();
        StageAttempt attempt = new StageAttempt(this, id, route, now, resumeOffset);
        openAttempts.put(id, attempt);
        run.executions().add(id, stage.idempotent());
        route.link().dispatch(dispatchMessage(id, route, agent, resumeOffset), attempt);
    }

    private StageDispatch dispatchMessage(AttemptId id, Route route, Incarnation agent, long resumeOffset) {
        PipelineRequest request = run.request();
        return new StageDispatch(
                id,
                request.requestId(),
                request.contract().workspace(),
                request.pipeline().name(),
                index,
                route.target().name(),
                agent,
                stage.idempotent(),
                request.contract().priority(),
                request.contract().worth(),
                TimeUnit.NANOSECONDS.toMicros(
                        request.deadline().remainingNanos(run.context().time())),
                TimeUnit.MILLISECONDS.toMicros(stage.minimumMillis()),
                streaming,
                resumeOffset,
                PrefixHashSupport.hash(input, run.context().settings().prefixBytes()),
                input);
    }

    /** Completes the stage with the result of an attempt. */
    final void complete(StageAttempt attempt, StageCompleted outcome) {
        long elapsed = elapsedNanos(attempt);
        run.context().telemetry().stage(stage.pool(), stage.cost(), elapsed);
        complete(
                attempt.resumeOffset(),
                outcome.result(),
                attempt.route().target().name());
    }

    /**
     * Completes the stage.
     *
     * @param offset offset of the result's first byte, in bytes; 0 except for a resumed stream
     * @param result the result, starting at the offset
     * @param target name of the target that ran the stage
     */
    final void complete(long offset, Payload result, String target) {
        Payload fullResult = result;
        if (streaming) {
            try {
                stream.addPart(offset, result);
                stream.end(offset + result.size());
                fullResult = stream.content();
            } catch (MasticfoldException violation) {
                failBrokenStream(violation);
                return;
            }
        }
        long elapsed = attempts == 0 ? 0 : run.context().time().nanoTime() - firstDispatchNanos;
        run.stageCompleted(
                index,
                fullResult,
                new StageReport(stage.name(), target, TimeUnit.NANOSECONDS.toMicros(elapsed), attempts));
    }

    /** Starts another attempt if the outcome and the budgets allow one, or fails the request. */
    final void retryOrFail(StageOutcome outcome) {
        ErrorKind kind = errorKind(outcome);
        boolean retryable = kind.retry().elsewhere() && anotherAttemptAllowed();
        if (!retryable) {
            fail(outcome);
        } else if (tryAcquireRetry(outcome)) {
            run.context().telemetry().retried(kind);
            stream.dropPending();
            startAttempt();
        } else {
            run.fail(
                    ErrorKind.RETRY_BUDGET_SPENT,
                    "stage '" + stage.name() + "' ended with " + kind.code() + " and the retry budget is spent",
                    retryAfter(outcome));
        }
    }

    private void failBrokenStream(MasticfoldException violation) {
        run.context().telemetry().count("broken_stream");
        run.fail(
                ErrorKind.TARGET_FAILED,
                "stage '" + stage.name() + "' sent a broken stream: " + violation.getMessage(),
                Duration.ZERO);
    }

    /** Fails the request with the error kind of an attempt's outcome. */
    final void fail(StageOutcome outcome) {
        run.fail(
                errorKind(outcome),
                "stage '" + stage.name() + "' ended with " + errorKind(outcome).code(),
                retryAfter(outcome));
    }

    /** Fails the request because no target is left; reports the last outcome, if any, as the more specific cause. */
    final void failWithoutTarget(@Nullable StageOutcome lastOutcome) {
        if (lastOutcome == null) {
            run.fail(ErrorKind.NO_TARGET, "no target of pool '" + stage.pool() + "' can take work", Duration.ZERO);
        } else {
            fail(lastOutcome);
        }
    }

    /** Returns whether the maximum number of attempts and the remaining time allow another attempt. */
    final boolean anotherAttemptAllowed() {
        return attempts < run.context().settings().maxAttempts() && run.fitsRemainingTime(index);
    }

    private boolean tryAcquireRetry(StageOutcome outcome) {
        if (outcome instanceof StageRefused && !freeRetryUsed) {
            freeRetryUsed = true;
            return true;
        }
        return run.context().retryBudget().tryWithdraw();
    }

    /**
     * Returns what an outcome says about the execution of the stage. The refusal of a duplicate says nothing about the
     * first copy of the attempt, and if an attempt was sealed, the run of the same request that sealed it may execute
     * the stage itself.
     */
    static Ran ran(StageOutcome outcome) {
        ErrorKind kind = errorKind(outcome);
        boolean undetermined = kind == ErrorKind.DUPLICATE_ATTEMPT || kind == ErrorKind.SEALED;
        return undetermined ? Ran.UNKNOWN : outcome.ran();
    }

    static ErrorKind errorKind(StageOutcome outcome) {
        if (outcome instanceof StageRefused refused) {
            return refused.kind();
        }
        return outcome instanceof StageFailed failed ? failed.kind() : ErrorKind.INTERNAL;
    }

    private static Duration retryAfter(StageOutcome outcome) {
        return outcome instanceof StageRefused refused ? refused.retryAfter() : Duration.ZERO;
    }

    private long elapsedNanos(StageAttempt attempt) {
        return run.context().time().nanoTime() - attempt.startNanos();
    }

    boolean inFlight() {
        return !openAttempts.isEmpty();
    }

    final List<StageAttempt> openAttempts() {
        return List.copyOf(openAttempts.values());
    }

    final boolean streaming() {
        return streaming;
    }

    final PipelineRun run() {
        return run;
    }

    final Stage stage() {
        return stage;
    }

    final int index() {
        return index;
    }
}
