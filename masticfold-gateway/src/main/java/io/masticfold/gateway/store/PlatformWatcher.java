package io.masticfold.gateway.store;

import io.masticfold.core.directory.DisabledZones;
import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.directory.TargetTable;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.stage.ServerOwnership;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Updates the {@link PlatformView} from the object store. Not thread-safe. */
public final class PlatformWatcher {

    /** Pause between two watches of the configuration and of the zones, which rarely change. */
    private static final Duration CONFIGURATION_AND_ZONES_PAUSE = Duration.ofMillis(20);

    /** Pause between two watches of the targets; batches their changes. */
    private static final Duration TARGETS_PAUSE = Duration.ofMillis(700);

    /** Pause between two watches of the gateways. */
    private static final Duration GATEWAYS_PAUSE = Duration.ofMillis(1000);

    /** Age of the latest known read of the gateways at which every gateway reads them: longer than a watch can wait. */
    private static final Duration GATEWAYS_FOLLOWER_INTERVAL =
            GATEWAYS_PAUSE.plus(KindWatcher.WATCH_WAIT).plusMillis(500);

    /** Interval at which expired entries are removed and overdue reads are made. */
    private static final Duration EXPIRY_CHECK = Duration.ofMillis(250);

    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final PlatformView view;
    private final RateLimitedLog log;
    private final TargetTable table;
    private final Map<String, GatewayAddress> gateways = new HashMap<>();
    private final DisabledZones zonesOut;
    private final List<KindWatcher> watchers;
    private final String node;
    private final Runnable onUnlisted;
    private final SharedWatches configurationWatches;
    private final KindWatcher configurationWatcher;
    private Supplier<List<String>> reachablePeers = List::of;
    private boolean storeUnreachable;
    private boolean targetsListed;
    private boolean zonesListed;
    private @Nullable StoreObject activeConfiguration;

    /**
     * Creates the watchers of all kinds.
     *
     * @param node name of this gateway
     * @param onUnlisted called when the store does not list this gateway, so that it has to register
     */
    public PlatformWatcher(
            ObjectStoreClient store,
            StoreDialect dialect,
            Scheduler scheduler,
            PlatformView view,
            RateLimitedLog log,
            String node,
            Runnable onUnlisted) {
        this.node = node;
        this.onUnlisted = onUnlisted;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.view = view;
        this.log = log;
        this.table = new TargetTable(scheduler);
        this.zonesOut = new DisabledZones(scheduler);
        this.configurationWatches = sharedWatches(StoreKind.CONFIGURATION);
        this.configurationWatcher = new KindWatcher(
                store,
                dialect,
                scheduler,
                StoreKind.CONFIGURATION,
                CONFIGURATION_AND_ZONES_PAUSE,
                new ConfigurationListener(),
                configurationWatches);
        this.watchers = List.of(
                configurationWatcher,
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.TARGETS,
                        TARGETS_PAUSE,
                        new TargetListener(),
                        sharedWatches(StoreKind.TARGETS)),
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.ZONES_OUT,
                        CONFIGURATION_AND_ZONES_PAUSE,
                        new ZoneListener(),
                        sharedWatches(StoreKind.ZONES_OUT)),
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.GATEWAYS,
                        GATEWAYS_PAUSE,
                        new GatewayListener(),
                        gatewayReads()));
    }

    private SharedWatches sharedWatches(StoreKind kind) {
        return new SharedWatches(kind, scheduler, () -> isReader(kind));
    }

    private SharedReads gatewayReads() {
        return new SharedReads(
                StoreKind.GATEWAYS,
                scheduler,
                GATEWAYS_PAUSE,
                GATEWAYS_FOLLOWER_INTERVAL,
                () -> isReader(StoreKind.GATEWAYS),
                object -> object.name() + object.content());
    }

    private boolean isReader(StoreKind kind) {
        return ServerOwnership.ownerOf("read/" + kind, node, reachablePeers.get())
                .equals(node);
    }

    /**
     * Sets the peers among which the reads are shared.
     *
     * @param peers supplies the names of the reachable peers
     */
    public void shareReads(Supplier<List<String>> peers) {
        reachablePeers = peers;
    }

    /** Adds the configuration version and the reads of this gateway to its status. */
    public void addTo(PeerStatus.Builder status) {
        status.setConfigurationVersion(configurationVersion());
        watchers.forEach(watcher -> watcher.plan().addTo(status, watcher.known().era()));
    }

    /** Records the reads of a peer. */
    public void handleStatus(String peer, PeerStatus status) {
        for (KindRead read : status.getReadsList()) {
            watchers.forEach(watcher -> watcher.plan().recordPeerRead(peer, read));
        }
        if (status.getReadsCount() > 0) {
            readIfDue();
        }
    }

    private void readIfDue() {
        watchers.forEach(KindWatcher::readIfDue);
        configurationWatches.confirmedNanos(configurationWatcher.known().era()).ifPresent(view::recordConfirmation);
    }

    /** Records that a peer is no longer reachable. */
    public void peerDisconnected(String peer) {
        watchers.forEach(watcher -> watcher.plan().removePeer(peer));
    }

    /** Starts listing and watching. */
    public void start() {
        watchers.forEach(KindWatcher::start);
        scheduler.schedule(EXPIRY_CHECK, this::expire);
    }

    /** Returns whether configuration, targets and zones have been read at least once. */
    public boolean complete() {
        return view.config() != null && targetsListed && zonesListed;
    }

    /** Returns whether the last call to the store succeeded. */
    public boolean storeReachable() {
        return !storeUnreachable;
    }

    /** Returns the watchers of all kinds. */
    List<KindWatcher> watchers() {
        return watchers;
    }

    private void expire() {
        if (zonesOut.expire()) {
            publishZones();
        }
        if (table.expire()) {
            publish();
        }
        readIfDue();
        scheduler.schedule(EXPIRY_CHECK, this::expire);
    }

    private void publish() {
        view.replaceTargets(table.snapshot());
    }

    private void publishZones() {
        table.setDisabledZones(zonesOut.zones());
        publish();
        log.important(GatewayEvent.ZONES_OUT_CHANGED)
                .addKeyValue("zones", String.join(",", new TreeSet<>(zonesOut.zones())))
                .log();
    }

    /** Returns the object of the active configuration; empty before one was read. */
    List<StoreObject> activeConfiguration() {
        return Optional.ofNullable(activeConfiguration).stream().toList();
    }

    /** Returns the version of the active configuration; 0 before one was read. */
    long configurationVersion() {
        return Optional.ofNullable(view.config()).map(ForwardConfig::version).orElse(0L);
    }

    /** Activates a configuration that a peer has supplied, if it is newer than the active one. */
    void offerConfiguration(List<StoreObject> objects) {
        objects.stream()
                .filter(object -> object.name().equals(dialect.configurationName()) && !object.deleted())
                .forEach(this::activate);
    }

    private void activate(StoreObject object) {
        try {
            ForwardConfig config = dialect.decodeConfiguration(object);
            if (view.activateIfNewer(config)) {
                activeConfiguration = object;
                log.important(GatewayEvent.CONFIGURATION_IN_FORCE)
                        .addKeyValue("version", config.version())
                        .addKeyValue("revision", object.revision())
                        .log();
            }
        } catch (MasticfoldException e) {
            log.important(GatewayEvent.CONFIGURATION_REJECTED)
                    .addKeyValue("revision", object.revision())
                    .addKeyValue("problem", e.getMessage())
                    .log();
        }
    }

    private void logIfRestored(StoreKind kind, long revision, boolean restored) {
        if (restored) {
            log.important(GatewayEvent.STORE_RESTORED)
                    .addKeyValue("kind", kind)
                    .addKeyValue("revision", revision)
                    .log();
        }
    }

    private void storeFailed(String detail) {
        table.directoryFailed();
        if (!storeUnreachable) {
            storeUnreachable = true;
            log.important(GatewayEvent.STORE_UNREACHABLE)
                    .addKeyValue("detail", detail)
                    .log();
        }
    }

    private void storeResponded() {
        table.directoryAnswered();
        if (storeUnreachable) {
            storeUnreachable = false;
            log.important(GatewayEvent.STORE_RECOVERED).log();
        }
    }

    /** Records whether the store is reachable, for every kind. */
    private abstract class AbstractKindListener implements KindListener {

        @Override
        public void callFailed(String detail) {
            storeFailed(detail);
        }

        @Override
        public void callSucceeded() {
            storeResponded();
        }
    }

    /** Activates newer configurations. */
    private final class ConfigurationListener extends AbstractKindListener {

        @Override
        public void callSucceeded() {
            super.callSucceeded();
            view.recordConfirmation(scheduler.nanoTime());
        }

        @Override
        public void listed(List<StoreObject> objects, long revision, boolean restored) {
            logIfRestored(StoreKind.CONFIGURATION, revision, restored);
            changed(objects, revision);
        }

        @Override
        public void changed(List<StoreObject> objects, long _revision) {
            offerConfiguration(objects);
        }
    }

    /** Maintains the target table. */
    private final class TargetListener extends AbstractKindListener {

        @Override
        public void listed(List<StoreObject> objects, long revision, boolean restored) {
            logIfRestored(StoreKind.TARGETS, revision, restored);
            List<TargetRecord> targets =
                    objects.stream().map(this::decode).flatMap(Optional::stream).toList();
            if (restored) {
                table.replaceAllRestored(targets);
            } else {
                table.replaceAll(targets);
            }
            targetsListed = true;
            publish();
        }

        @Override
        public void changed(List<StoreObject> objects, long _revision) {
            objects.forEach(this::apply);
            publish();
        }

        private void apply(StoreObject object) {
            Optional<TargetRecord> target = object.deleted() ? Optional.empty() : decode(object);
            if (target.isEmpty()) {
                if (view.directory().find(object.name()).isPresent()) {
                    log.important(GatewayEvent.TARGET_REMOVED)
                            .addKeyValue("target", object.name())
                            .addKeyValue("revision", object.revision())
                            .log();
                }
                table.remove(object.name());
                return;
            }
            table.put(target.get());
            logChange(target.get(), object.revision());
        }

        private void logChange(TargetRecord target, long revision) {
            Optional<TargetRecord> known = view.directory().find(target.id());
            boolean added = known.isEmpty() || !known.get().sameIncarnation(target);
            if (added || known.get().draining() != target.draining()) {
                log.important(added ? GatewayEvent.TARGET_ADDED : GatewayEvent.TARGET_CHANGED)
                        .addKeyValue("target", target.id())
                        .addKeyValue("pool", target.pool())
                        .addKeyValue("leaving", target.draining())
                        .addKeyValue("coldMillis", target.coldRemainingMillis())
                        .addKeyValue("revision", revision)
                        .log();
            }
        }

        private Optional<TargetRecord> decode(StoreObject object) {
            Optional<TargetRecord> target = dialect.decodeTarget(object);
            if (target.isEmpty()) {
                log.important(GatewayEvent.DIRECTORY_ENTRY_IGNORED)
                        .addKeyValue("entry", object.name())
                        .addKeyValue("revision", object.revision())
                        .log();
            }
            return target;
        }
    }

    /** Maintains the set of availability zones that are out of service. */
    private final class ZoneListener extends AbstractKindListener {

        @Override
        public void listed(List<StoreObject> objects, long revision, boolean restored) {
            logIfRestored(StoreKind.ZONES_OUT, revision, restored);
            zonesOut.replaceAll(objects.stream().map(StoreObject::name).toList(), restored);
            zonesListed = true;
            publishZones();
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
            publishZones();
        }
    }

    /** Maintains the list of gateways. */
    private final class GatewayListener extends AbstractKindListener {

        @Override
        public void listed(List<StoreObject> objects, long revision, boolean restored) {
            logIfRestored(StoreKind.GATEWAYS, revision, restored);
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
}
