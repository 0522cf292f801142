package io.masticfold.gateway.store;

import io.masticfold.core.directory.DisabledZones;
import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.directory.TargetTable;
import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.stage.ServerOwnership;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimerGrid;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

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

    /**
     * Time for which the statuses of peers are collected before it is examined whether a read is due. Examining it for
     * each status took a quarter of an event loop's time with sixteen gateways.
     */
    private static final Duration READ_CHECK_DELAY = Duration.ofMillis(20);

    private final Scheduler scheduler;
    private final PlatformView view;
    private final TargetTable table;
    private final StoreReachability reachability;
    private final ConfigurationListener configuration;
    private final TargetListener targets;
    private final ZoneListener zones;
    private final Optional<RolloutListener> orders;
    private final SharedWatches configurationWatches;
    private final KindWatcher configurationWatcher;
    private final List<KindWatcher> watchers;
    private final String node;
    private final RateLimitedLog log;
    private Supplier<List<String>> reachablePeers = List::of;
    private boolean readCheckScheduled;

    /**
     * Creates the watchers of all kinds.
     *
     * @param registration told how the store lists this gateway
     * @param rollouts told the orders of operators that move pools to other software versions; empty if there are none
     *     in this deployment
     */
    public PlatformWatcher(
            ObjectStoreClient store,
            StoreDialect dialect,
            Scheduler scheduler,
            PlatformView view,
            RateLimitedLog log,
            GatewayRegistration registration,
            Optional<Consumer<List<RolloutOrder>>> rollouts) {
        this.node = registration.name();
        this.log = log;
        this.scheduler = scheduler;
        this.view = view;
        this.table = new TargetTable(scheduler);
        this.reachability = new StoreReachability(table, scheduler, this::latestReadAge, log);
        this.configuration = new ConfigurationListener(dialect, scheduler, view, reachability, log);
        this.targets = new TargetListener(dialect, table, view, reachability, log);
        this.zones = new ZoneListener(new DisabledZones(scheduler), table, targets, reachability, log);
        this.configurationWatches = sharedWatches(StoreKind.CONFIGURATION, CONFIGURATION_AND_ZONES_PAUSE);
        this.configurationWatcher = new KindWatcher(
                store,
                dialect,
                scheduler,
                StoreKind.CONFIGURATION,
                CONFIGURATION_AND_ZONES_PAUSE,
                configuration,
                configurationWatches,
                this::connectionSilent);
        List<KindWatcher> all = new ArrayList<>(List.of(
                configurationWatcher,
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.TARGETS,
                        TARGETS_PAUSE,
                        targets,
                        sharedWatches(StoreKind.TARGETS, TARGETS_PAUSE),
                        this::connectionSilent),
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.ZONES_OUT,
                        CONFIGURATION_AND_ZONES_PAUSE,
                        zones,
                        sharedWatches(StoreKind.ZONES_OUT, CONFIGURATION_AND_ZONES_PAUSE),
                        this::connectionSilent),
                new KindWatcher(
                        store,
                        dialect,
                        scheduler,
                        StoreKind.GATEWAYS,
                        GATEWAYS_PAUSE,
                        new GatewayListener(dialect, view, registration, reachability, log),
                        gatewayReads(),
                        this::connectionSilent)));
        this.orders = rollouts.map(receiver -> new RolloutListener(dialect, receiver, reachability, log));
        orders.ifPresent(listener -> all.add(new KindWatcher(
                store,
                dialect,
                scheduler,
                StoreKind.ROLLOUTS,
                CONFIGURATION_AND_ZONES_PAUSE,
                listener,
                sharedWatches(StoreKind.ROLLOUTS, CONFIGURATION_AND_ZONES_PAUSE),
                this::connectionSilent)));
        this.watchers = List.copyOf(all);
    }

    private Duration latestReadAge() {
        return watchers.stream()
                .map(watcher -> watcher.plan().latestReadAge())
                .min(Comparator.naturalOrder())
                .orElseThrow();
    }

    private SharedWatches sharedWatches(StoreKind kind, Duration pause) {
        return new SharedWatches(kind, scheduler, pause, () -> isReader(kind));
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

    /** Records that a target says in an answer that it leaves. */
    public void targetLeaving(TargetRecord target) {
        if (table.markLeaving(target)) {
            targets.publish();
            log.important(GatewayEvent.TARGET_LEAVING)
                    .addKeyValue("target", target.id())
                    .addKeyValue("pool", target.pool())
                    .log();
        }
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
        status.setConfigurationVersion(configuration.version());
        watchers.forEach(watcher -> watcher.plan().addTo(status, watcher.known().era()));
    }

    /** Records the reads of a peer. */
    public void handleStatus(String peer, PeerStatus status) {
        for (KindRead read : status.getReadsList()) {
            watchers.forEach(watcher -> watcher.plan().recordPeerRead(peer, read));
        }
        if (status.getReadsCount() > 0 && !readCheckScheduled) {
            readCheckScheduled = true;
            scheduler.schedule(READ_CHECK_DELAY, () -> {
                readCheckScheduled = false;
                readIfDue();
            });
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
        scheduler.schedule(TimerGrid.delay(scheduler, EXPIRY_CHECK), this::expire);
    }

    /** Returns whether configuration, targets and zones have been read at least once. */
    public boolean complete() {
        return view.config() != null && targets.complete() && zones.complete() && ordersComplete();
    }

    /** Returns whether the orders of roll-outs have been read, or are not read in this deployment. */
    public boolean ordersComplete() {
        return orders.map(RolloutListener::complete).orElse(true);
    }

    /** Returns whether the last call to the store succeeded. */
    public boolean storeReachable() {
        return reachability.reachable();
    }

    /** Returns the watchers of all kinds. */
    List<KindWatcher> watchers() {
        return watchers;
    }

    private void expire() {
        zones.expire();
        if (table.expire()) {
            targets.publish();
        }
        readIfDue();
        scheduler.schedule(TimerGrid.delay(scheduler, EXPIRY_CHECK), this::expire);
    }

    private void connectionSilent() {
        watchers.forEach(KindWatcher::renewWatch);
    }

    /** Returns the active configuration and accepts newer ones that peers supply. */
    ConfigurationListener configuration() {
        return configuration;
    }
}
