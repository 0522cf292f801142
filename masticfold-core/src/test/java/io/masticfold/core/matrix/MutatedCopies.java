package io.masticfold.core.matrix;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.util.Collection;
import java.util.List;

/** Creates modified copies of dispatches and configuration objects to emulate disabled mechanisms. */
final class MutatedCopies {

    private MutatedCopies() {}

    static StageDispatch withAttempt(StageDispatch dispatch, AttemptId attempt) {
        return copy(dispatch, attempt, dispatch.agent());
    }

    static StageDispatch withAgent(StageDispatch dispatch, Incarnation agent) {
        return copy(dispatch, dispatch.attempt(), agent);
    }

    private static StageDispatch copy(StageDispatch original, AttemptId attempt, Incarnation agent) {
        return new StageDispatch(
                attempt,
                original.requestId(),
                original.workspace(),
                original.pipeline(),
                original.stage(),
                original.target(),
                agent,
                original.idempotent(),
                original.priority(),
                original.worth(),
                original.budgetMicros(),
                original.minimumMicros(),
                original.streaming(),
                original.resumeOffset(),
                original.prefixHash(),
                original.body());
    }

    /** Returns the objects as passed to the gate, altered if one of the checks of the gate is disabled. */
    static List<ConfigObject> gateView(Simulation simulation, Collection<ConfigObject> objects) {
        return objects.stream()
                .map(object -> new ConfigObject(
                        object.key(), object.version(), object.changeId(), gateView(simulation, object.spec())))
                .toList();
    }

    private static ConfigSpec gateView(Simulation simulation, ConfigSpec spec) {
        if (spec instanceof Zone zone && simulation.isDisabled(Mutation.GATE_ZONE_CHECK)) {
            return zone.withState(ZoneState.IN);
        }
        if (spec instanceof Target target && simulation.isDisabled(Mutation.GATE_LEAVING_CHECK)) {
            return target.withState(TargetState.SERVING);
        }
        if (spec instanceof Target target && simulation.isDisabled(Mutation.COLD_RAMP)) {
            return Simulation.target(target.name(), target.state(), target.maxConcurrency());
        }
        return spec;
    }
}
