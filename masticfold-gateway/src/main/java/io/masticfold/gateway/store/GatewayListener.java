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
    private final GatewayRegistration registration;
    private final Map<String, GatewayAddress> gateways = new HashMap<>();
    private Optional<StoreObject> own = Optional.empty();

    GatewayListener(
            StoreDialect dialect,
            PlatformView view,
            GatewayRegistration registration,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.GATEWAYS, reachability, log);
        this.dialect = dialect;
        this.view = view;
        this.registration = registration;
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        gateways.clear();
        own = Optional.empty();
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
            if (object.name().equals(registration.name())) {
                own = object.deleted() ? Optional.empty() : Optional.of(object);
            }
        }
        view.replaceGateways(List.copyOf(gateways.values()));
        registration.listed(own);
    }
}
