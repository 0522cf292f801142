package io.masticfold.cli.bench;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.StageListener;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Stands in for a link in measurements of routing; nothing is dispatched on it. */
record UsableLink(String target) implements AgentLink {

    @Override
    public boolean usable() {
        return true;
    }

    @Override
    public @Nullable Incarnation agentIncarnation() {
        return null;
    }

    @Override
    public TargetLoad load() {
        return TargetLoad.UNKNOWN;
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        listener.outcome(new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO), TargetLoad.UNKNOWN);
    }

    @Override
    public void cancel(AttemptId _attempt) {}

    @Override
    public void grant(AttemptId _attempt, int _bytes) {}

    @Override
    public void seal(AttemptId _attempt, Incarnation _agent, Consumer<SealOutcome> reply) {
        reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN));
    }
}
