package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Retry;
import io.masticfold.core.model.Stage;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Executes one request: runs its stages in order until it completes, fails, expires or is cancelled by the caller. */
final class PipelineRun implements RunningRequest {

    private static final int SERVER_ERROR = 500;

    private final PipelineContext context;
    private final PipelineRequest request;
    private final Scheduler scheduler;
    private final ResponseListener listener;
    private final ExecutionTracker executions = new ExecutionTracker();
    private final List<StageReport> reports = new ArrayList<>();
    private Cancellable deadlineTimer = Cancellable.NONE;
    private @Nullable AbstractStageRun current;
    private boolean ended;

    PipelineRun(PipelineContext context, PipelineRequest request, Scheduler scheduler, ResponseListener listener) {
        this.context = context;
        this.request = request;
        this.scheduler = scheduler;
        this.listener = listener;
    }

    void start() {
        if (request.deadline().expired(context.time())) {
            fail(ErrorKind.DEADLINE_EXPIRED, "the window ended before the first stage", Duration.ZERO);
        } else if (!request.pipeline().idempotent() && !checkClaimable()) {
            return;
        } else {
            deadlineTimer = scheduler.schedule(request.deadline().remaining(context.time()), this::expire);
            startStage(0, request.body());
        }
    }

    /** Fails the request before its first stage starts if its non-idempotent stages could not be claimed. */
    private boolean checkClaimable() {
        String key = request.idempotencyKey();
        if (key == null || key.isBlank()) {
            fail(
                    ErrorKind.IDEMPOTENCY_KEY_MISSING,
                    "pipeline '" + request.pipeline().name() + "' needs an idempotency key",
                    Duration.ZERO);
            return false;
        }
        if (!context.claims().available()) {
            fail(
                    ErrorKind.CLAIM_STORE_UNAVAILABLE,
                    "the claim store cannot be reached",
                    context.claims().retryAfter());
            return false;
        }
        return true;
    }

    private void startStage(int index, Payload input) {
        Stage stage = request.pipeline().stages().get(index);
        AbstractStageRun next = stage.idempotent()
                ? new IdempotentStageRun(this, stage, index, input)
                : new ClaimedStageRun(this, stage, index, input);
        current = next;
        next.start();
    }

    /** Starts the next stage with the result of the current one, or completes the request after the last stage. */
    void stageCompleted(int index, Payload result, StageReport report) {
        if (ended) {
            return;
        }
        if (request.deadline().expired(context.time())) {
            expire();
            return;
        }
        reports.add(report);
        if (index + 1 < request.pipeline().stages().size()) {
            startStage(index + 1, result);
            return;
        }
        end(ErrorKind.CANCELLED);
        listener.completed(new PipelineResult(result, reports));
    }

    /** Ends the request with an error immediately; has no effect if the request has ended. */
    void fail(ErrorKind kind, String message, Duration retryAfter) {
        if (ended) {
            return;
        }
        end(kind);
        context.telemetry().refused(kind);
        listener.failed(new RequestFailure(
                kind, executions.ran(), executions.effects(), retryAfter(kind, retryAfter), message));
    }

    /** Forwards a chunk of the streamed result to the listener. */
    void chunk(long offset, Payload bytes) {
        if (!ended) {
            listener.chunk(offset, bytes);
        }
    }

    @Override
    public void cancel() {
        fail(ErrorKind.CANCELLED, "the caller is gone", Duration.ZERO);
    }

    @Override
    public void consumed(int bytes) {
        if (!ended && current != null) {
            current.consumed(bytes);
        }
    }

    private void expire() {
        boolean inFlight = current != null && current.inFlight();
        ErrorKind kind = inFlight ? ErrorKind.STAGE_TIMEOUT : ErrorKind.DEADLINE_EXPIRED;
        String stage = current == null
                ? "the first stage"
                : "stage '" + current.stage().name() + "'";
        fail(kind, "the window ended in " + stage, Duration.ZERO);
    }

    private void end(ErrorKind reason) {
        ended = true;
        deadlineTimer.cancel();
        if (current != null) {
            current.cancelAttempts(reason);
        }
    }

    private Duration retryAfter(ErrorKind kind, Duration knownRetryAfter) {
        boolean retryable = kind.retry() != Retry.NEVER || kind.httpStatus() >= SERVER_ERROR;
        if (!retryable) {
            return Duration.ZERO;
        }
        return knownRetryAfter.isZero() || knownRetryAfter.isNegative()
                ? context.settings().retryAfter()
                : knownRetryAfter;
    }

    /** Returns whether the remaining time covers the minimum times of a stage and of all stages after it. */
    boolean fitsRemainingTime(int index) {
        long neededMillis = request.pipeline().stages().stream()
                .skip(index)
                .mapToLong(Stage::minimumMillis)
                .sum();
        long remaining = request.deadline().remainingNanos(context.time());
        return remaining > 0 && remaining >= TimeUnit.MILLISECONDS.toNanos(neededMillis);
    }

    /** Runs a task on the event loop of the request. */
    void runOnEventLoop(Runnable task) {
        scheduler.schedule(Duration.ZERO, task);
    }

    boolean ended() {
        return ended;
    }

    boolean isStreamed(int index, Stage stage) {
        boolean last = index == request.pipeline().stages().size() - 1;
        return request.streaming() && last && stage.streaming();
    }

    PipelineContext context() {
        return context;
    }

    PipelineRequest request() {
        return request;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    ExecutionTracker executions() {
        return executions;
    }
}
