package io.masticfold.gateway.store;

import io.masticfold.core.directory.DisabledZones;
import io.masticfold.core.directory.TargetTable;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Maintains the set of availability zones that are out of service. Not thread-safe. */
final class ZoneListener extends AbstractKindListener {

    private final DisabledZones zonesOut;
    private final TargetTable table;
    private final TargetListener targets;
    private Set<String> published = Set.of();
    private boolean complete;

    ZoneListener(
            DisabledZones zonesOut,
            TargetTable table,
            TargetListener targets,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.ZONES_OUT, reachability, log);
        this.zonesOut = zonesOut;
        this.table = table;
        this.targets = targets;
    }

    /** Returns whether the zones have been read at least once. */
    boolean complete() {
        return complete;
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        zonesOut.replaceAll(objects.stream().map(StoreObject::name).toList(), restored);
        complete = true;
        publish();
    }

    @Override
    public void changed(List<StoreObject> objects, long _revision) {
        for (StoreObject object : objects) {
            if (object.deleted()) {
                zonesOut.remove(object.name());
            } else {
                zonesOut.add(object.name());
            }
        }
        publish();
    }

    /** Returns the zones to service whose time has expired. */
    void expire() {
        if (zonesOut.expire()) {
            publish();
        }
    }

    private void publish() {
        Set<String> zones = Set.copyOf(zonesOut.zones());
        table.setDisabledZones(zones);
        targets.publish();
        if (!zones.equals(published)) {
            published = zones;
            log().important(GatewayEvent.ZONES_OUT_CHANGED)
                    .addKeyValue("zones", String.join(",", new TreeSet<>(zones)))
                    .log();
        }
    }
}
