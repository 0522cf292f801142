package io.masticfold.gateway.store;

import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Maintains the list of gateways. Not thread-safe. */
final class GatewayListener extends AbstractKindListener {

    private final StoreDialect dialect;
    private final PlatformView view;
    private final String node;
    private final Runnable onUnlisted;
    private final Map<String, GatewayAddress> gateways = new HashMap<>();

    GatewayListener(
            StoreDialect dialect,
            PlatformView view,
            String node,
            Runnable onUnlisted,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.GATEWAYS, reachability, log);
        this.dialect = dialect;
        this.view = view;
        this.node = node;
        this.onUnlisted = onUnlisted;
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        gateways.clear();
        changed(objects, revision);
    }

    @Override
    public void changed(List<StoreObject> objects, long _revision) {
        for (StoreObject object : objects) {
            Optional<GatewayAddress> gateway = object.deleted() ? Optional.empty() : dialect.decodeGateway(object);
            if (gateway.isPresent()) {
                gateways.put(object.name(), gateway.get());
            } else {
                gateways.remove(object.name());
            }
        }
        view.replaceGateways(List.copyOf(gateways.values()));
        if (!gateways.containsKey(node)) {
            onUnlisted.run();
        }
    }
}
