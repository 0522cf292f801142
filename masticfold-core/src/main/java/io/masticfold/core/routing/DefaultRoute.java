package io.masticfold.core.routing;

import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;
import io.masticfold.core.shed.PoolAttemptListener;
import io.masticfold.core.time.TimeSource;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/** Counts one attempt as in flight until it is released, and then reports its outcome exactly once. */
final class DefaultRoute implements Route {

    private static final Set<ErrorKind> CAPACITY_ERRORS =
            Set.of(ErrorKind.OVERLOADED, ErrorKind.QUEUE_FULL, ErrorKind.TARGET_COLD, ErrorKind.BUDGET_TOO_SHORT);

    private final Candidate candidate;
    private final RouterSettings settings;
    private final TimeSource time;
    private final PoolAttemptListener listener;
    private final AtomicBoolean released = new AtomicBoolean();

    DefaultRoute(Candidate candidate, RouterSettings settings, TimeSource time, PoolAttemptListener listener) {
        this.candidate = candidate;
        this.settings = settings;
        this.time = time;
        this.listener = listener;
    }

    @Override
    public Target target() {
        return candidate.target();
    }

    @Override
    public AgentLink link() {
        return candidate.link();
    }

    @Override
    public void release(StageOutcome outcome, TargetLoad load, long elapsedNanos) {
        if (!released.compareAndSet(false, true)) {
            return;
        }
        TargetStats stats = candidate.stats();
        stats.release(load);
        listener.attemptEnded(candidate.target().pool(), overloaded(outcome), load);
        if (outcome instanceof StageCompleted) {
            stats.recordCompletion(elapsedNanos);
        } else if (targetFault(outcome)) {
            stats.recordFailure(settings, time.nanoTime());
        }
    }

    private static boolean overloaded(StageOutcome outcome) {
        if (outcome instanceof StageRefused refused) {
            return CAPACITY_ERRORS.contains(refused.kind());
        }
        return outcome instanceof StageFailed failed && failed.kind() == ErrorKind.STAGE_TIMEOUT;
    }

    /** Returns whether the outcome counts as a failure of the target; refusals for load or state do not. */
    private static boolean targetFault(StageOutcome outcome) {
        if (outcome instanceof StageRefused refused) {
            return refused.kind() == ErrorKind.TARGET_UNREACHABLE;
        }
        return outcome instanceof StageFailed failed && failed.kind() != ErrorKind.CANCELLED;
    }
}
