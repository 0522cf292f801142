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
final class Dispatches {

    private Dispatches() {}

    static StageDispatch withAttempt(StageDispatch dispatch, AttemptId attempt) {
        return copy(dispatch, attempt, dispatch.agent());
    }

    static StageDispatch withAgent(StageDispatch dispatch, Incarnation agent) {
        return copy(dispatch, dispatch.attempt(), agent);
    }

    private static StageDispatch copy(StageDispatch from, AttemptId attempt, Incarnation agent) {
        return new StageDispatch(
                attempt,
                from.requestId(),
                from.workspace(),
                from.pipeline(),
                from.stage(),
                from.target(),
                agent,
                from.idempotent(),
                from.priority(),
                from.worth(),
                from.budgetMicros(),
                from.minimumMicros(),
                from.streaming(),
                from.resumeOffset(),
                from.prefixHash(),
                from.body());
    }

    /** Returns the objects as passed to the gate, altered if one of the checks of the gate is disabled. */
    static List<ConfigObject> forGate(MatrixWorld world, Collection<ConfigObject> objects) {
        return objects.stream()
                .map(object -> new ConfigObject(
                        object.key(), object.version(), object.changeId(), forGate(world, object.spec())))
                .toList();
    }

    private static ConfigSpec forGate(MatrixWorld world, ConfigSpec spec) {
        if (spec instanceof Zone zone && world.off(Mutation.GATE_ZONE_CHECK)) {
            return zone.withState(ZoneState.IN);
        }
        if (spec instanceof Target target && world.off(Mutation.GATE_LEAVING_CHECK)) {
            return target.withState(TargetState.SERVING);
        }
        if (spec instanceof Target target && world.off(Mutation.COLD_RAMP)) {
            return MatrixWorld.target(target.name(), target.state(), target.maxConcurrency());
        }
        return spec;
    }
}
