package io.masticfold.gateway.store;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Activates newer configurations. Not thread-safe. */
final class ConfigurationListener extends AbstractKindListener {

    private final StoreDialect dialect;
    private final TimeSource time;
    private final PlatformView view;
    private @Nullable StoreObject active;

    ConfigurationListener(
            StoreDialect dialect,
            TimeSource time,
            PlatformView view,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.CONFIGURATION, reachability, log);
        this.dialect = dialect;
        this.time = time;
        this.view = view;
    }

    /** Returns the object of the active configuration; empty before one was read. */
    List<StoreObject> active() {
        return Optional.ofNullable(active).stream().toList();
    }

    /** Returns the version of the active configuration; 0 before one was read. */
    long version() {
        return Optional.ofNullable(view.config()).map(ForwardConfig::version).orElse(0L);
    }

    /** Activates the configuration among the objects if it is newer than the active one. */
    void offer(List<StoreObject> objects) {
        objects.stream()
                .filter(object -> object.name().equals(dialect.configurationName()) && !object.deleted())
                .forEach(this::activate);
    }

    private void activate(StoreObject object) {
        try {
            ForwardConfig config = dialect.decodeConfiguration(object);
            if (view.activateIfNewer(config)) {
                active = object;
                log().important(GatewayEvent.CONFIGURATION_IN_FORCE)
                        .addKeyValue("version", config.version())
                        .addKeyValue("revision", object.revision())
                        .log();
            }
        } catch (MasticfoldException e) {
            log().important(GatewayEvent.CONFIGURATION_REJECTED)
                    .addKeyValue("revision", object.revision())
                    .addKeyValue("problem", e.getMessage())
                    .log();
        }
    }

    @Override
    public void callSucceeded() {
        super.callSucceeded();
        view.recordConfirmation(time.nanoTime());
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        offer(objects);
    }

    @Override
    public void changed(List<StoreObject> objects, long _revision) {
        offer(objects);
    }
}
