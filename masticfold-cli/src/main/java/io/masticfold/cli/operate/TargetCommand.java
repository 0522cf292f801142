package io.masticfold.cli.operate;

import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetState;
import java.util.Map;
import java.util.TreeMap;

/** Drains a target or returns it to service. */
public final class TargetCommand extends AbstractStateCommand<Target> {

    /** Creates the command. */
    public TargetCommand() {
        super(
                ObjectKind.TARGET,
                new TreeMap<>(Map.of("drain", change(TargetState.LEAVING), "return", change(TargetState.SERVING))));
    }

    @Override
    public String description() {
        return "drains a target, or returns it to service";
    }

    private static FieldChange<Target> change(TargetState state) {
        return new FieldChange<>(Target.class, Target::state, target -> target.withState(state));
    }
}
