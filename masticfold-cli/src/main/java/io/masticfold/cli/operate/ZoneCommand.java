package io.masticfold.cli.operate;

import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.util.Map;
import java.util.TreeMap;

/** Takes an availability zone out of service or brings it back. */
public final class ZoneCommand extends AbstractStateCommand<Zone> {

    /** Creates the command. */
    public ZoneCommand() {
        super(ObjectKind.ZONE, new TreeMap<>(Map.of("in", change(ZoneState.IN), "out", change(ZoneState.OUT))));
    }

    @Override
    public String description() {
        return "takes an availability zone out of service, or brings it back in";
    }

    private static FieldChange<Zone> change(ZoneState state) {
        return new FieldChange<>(Zone.class, Zone::state, zone -> zone.withState(state));
    }
}
