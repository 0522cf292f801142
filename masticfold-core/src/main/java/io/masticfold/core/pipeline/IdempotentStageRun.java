package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.model.Stage;
import io.masticfold.core.routing.Route;
import io.masticfold.core.time.Cancellable;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Executes an idempotent stage. A failed attempt is retried at another target. A slow attempt may be hedged by a second
 * one; the first result is used and the other attempt is cancelled. A streaming stage is not hedged, because the caller
 * receives bytes before it is known which attempt completes first.
 */
final class IdempotentStageRun extends AbstractStageRun {

    private @Nullable StageOutcome lastOutcome;
    private Cancellable hedgeTimer = Cancellable.NONE;
    private boolean hedged;

    IdempotentStageRun(PipelineRun run, Stage stage, int index, Payload input) {
        super(run, stage, index, input);
    }

    @Override
    void startAttempt() {
        Optional<Route> route = chooseRoute();
        if (route.isEmpty()) {
            failWithoutTarget(lastOutcome);
            return;
        }
        dispatch(route.get());
        if (run().context().settings().hedging() && !streaming() && !hedged) {
            hedgeTimer.cancel();
            hedgeTimer = run().scheduler().schedule(run().context().settings().hedgeDelay(), this::startHedge);
        }
    }

    private void dispatch(Route route) {
        Incarnation agent = route.link().agentIncarnation();
        if (agent == null) {
            lastOutcome = new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            route.release(lastOutcome, route.link().load(), 0);
            retryOrFail(lastOutcome);
        } else {
            dispatch(run().context().attemptIds().next(), route, agent);
        }
    }

    private void startHedge() {
        boolean allowed = !run().ended() && inFlight() && !hedged && anotherAttemptAllowed();
        if (!allowed || !run().context().retryBudget().tryWithdraw()) {
            return;
        }
        hedged = true;
        Optional<Route> route = chooseRoute().filter(chosen -> chosen.link().agentIncarnation() != null);
        route.ifPresent(chosen -> {
            run().context().telemetry().count("hedge");
            dispatch(chosen);
        });
    }

    @Override
    void handleOutcome(StageAttempt attempt, StageOutcome outcome, boolean late) {
        if (late) {
            return;
        }
        if (outcome instanceof StageCompleted completed) {
            hedgeTimer.cancel();
            openAttempts().forEach(other -> cancelAttempt(other, new StageFailed(ErrorKind.CANCELLED, Ran.UNKNOWN)));
            complete(attempt, completed);
            return;
        }
        lastOutcome = outcome;
        if (!inFlight()) {
            retryOrFail(outcome);
        }
    }

    @Override
    void cancelAttempts(ErrorKind reason) {
        hedgeTimer.cancel();
        super.cancelAttempts(reason);
    }
}
