package io.masticfold.core.routing;

import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;
import io.masticfold.core.shed.PoolSignals;
import io.masticfold.core.time.TimeSource;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/** Holds the in-flight count of one attempt and feeds its outcome back into the statistics, once. */
final class DefaultRoute implements Route {

    private static final Set<ErrorKind> LACK_OF_CAPACITY =
            Set.of(ErrorKind.OVERLOADED, ErrorKind.QUEUE_FULL, ErrorKind.TARGET_COLD, ErrorKind.BUDGET_TOO_SHORT);

    private final Candidate chosen;
    private final RouterSettings settings;
    private final TimeSource time;
    private final PoolSignals signals;
    private final AtomicBoolean released = new AtomicBoolean();

    DefaultRoute(Candidate chosen, RouterSettings settings, TimeSource time, PoolSignals signals) {
        this.chosen = chosen;
        this.settings = settings;
        this.time = time;
        this.signals = signals;
    }

    @Override
    public Target target() {
        return chosen.target();
    }

    @Override
    public AgentLink link() {
        return chosen.link();
    }

    @Override
    public void release(StageOutcome outcome, TargetLoad load, long elapsedNanos) {
        if (!released.compareAndSet(false, true)) {
            return;
        }
        TargetStats stats = chosen.stats();
        stats.release(load);
        signals.observe(chosen.target().pool(), overloaded(outcome), load);
        if (outcome instanceof StageCompleted) {
            stats.completed(elapsedNanos);
        } else if (blamesTarget(outcome)) {
            stats.failed(settings, time.nanoTime());
        }
    }

    private static boolean overloaded(StageOutcome outcome) {
        if (outcome instanceof StageRefused refused) {
            return LACK_OF_CAPACITY.contains(refused.kind());
        }
        return outcome instanceof StageFailed failed && failed.kind() == ErrorKind.STAGE_TIMEOUT;
    }

    /** A refusal for load or state says nothing about the health of the target; an unreachable target does. */
    private static boolean blamesTarget(StageOutcome outcome) {
        if (outcome instanceof StageRefused refused) {
            return refused.kind() == ErrorKind.TARGET_UNREACHABLE;
        }
        return outcome instanceof StageFailed failed && failed.kind() != ErrorKind.CANCELLED;
    }
}
