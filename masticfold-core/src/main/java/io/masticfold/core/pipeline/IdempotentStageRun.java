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

    private @Nullable StageOutcome last;
    private Cancellable hedgeTimer = Cancellable.NONE;
    private boolean hedged;

    IdempotentStageRun(PipelineRun run, Stage stage, int index, Payload input) {
        super(run, stage, index, input);
    }

    @Override
    void launch() {
        Optional<Route> route = choose();
        if (route.isEmpty()) {
            failWithoutTarget(last);
            return;
        }
        dispatch(route.get());
        if (run().context().settings().hedging() && !streaming() && !hedged) {
            hedgeTimer.cancel();
            hedgeTimer = run().scheduler().schedule(run().context().settings().hedgeDelay(), this::hedge);
        }
    }

    private void dispatch(Route route) {
        Incarnation agent = route.link().agentIncarnation();
        if (agent == null) {
            last = new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            route.release(last, route.link().load(), 0);
            retryOrFail(last);
        } else {
            dispatch(run().context().ids().next(), route, agent);
        }
    }

    private void hedge() {
        boolean sensible = !run().ended() && inFlight() && !hedged && mayAttempt();
        if (!sensible || !run().context().retries().spend()) {
            return;
        }
        hedged = true;
        Optional<Route> route = choose().filter(chosen -> chosen.link().agentIncarnation() != null);
        route.ifPresent(chosen -> {
            run().context().telemetry().count("hedge");
            dispatch(chosen);
        });
    }

    @Override
    void ended(StageAttempt attempt, StageOutcome outcome, boolean late) {
        if (late) {
            return;
        }
        if (outcome instanceof StageCompleted completed) {
            hedgeTimer.cancel();
            openAttempts().forEach(loser -> giveUp(loser, new StageFailed(ErrorKind.CANCELLED, Ran.UNKNOWN)));
            complete(attempt, completed);
            return;
        }
        last = outcome;
        if (!inFlight()) {
            retryOrFail(outcome);
        }
    }

    @Override
    void abandon(ErrorKind reason) {
        hedgeTimer.cancel();
        super.abandon(reason);
    }
}
