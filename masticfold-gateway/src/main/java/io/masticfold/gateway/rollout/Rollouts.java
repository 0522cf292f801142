package io.masticfold.gateway.rollout;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.rollout.RolloutSettings;
import io.masticfold.core.rollout.RolloutState;
import io.masticfold.core.rollout.VersionCounts;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.PauseGuard;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.load.TargetLoads;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.RolloutStatus;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.store.PlatformView;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Takes part in the orders that move pools to other software versions: limits what a new version gets, tells the peers
 * what came of it, and, in one gateway, stores what was decided. Does nothing without settings for it. Not thread-safe.
 */
public final class Rollouts {

    /** Interval at which orders are examined and peers are told of changes. */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    private final Scheduler scheduler;
    private final PlatformView view;
    private final RateLimitedLog log;
    private final Telemetry telemetry;
    private final String node;
    private final Supplier<Optional<RolloutSettings>> settings;
    private final RolloutWriter writer;
    private final TargetLoads loads;
    private final PauseGuard pauseGuard;
    private final BooleanSupplier ordersKnown;
    private final VersionHold hold = new VersionHold();
    private final Map<String, Rollout> rollouts = new HashMap<>();
    private final UsualTimes usualTimes = new UsualTimes();

    /** Versions by pool whose order has not been completed; they get nothing until they are ordered again. */
    private final Map<String, Set<String>> withheld = new HashMap<>();

    private @Nullable PeerLinks links;
    private long incarnation;

    /**
     * Creates the state without orders.
     *
     * @param node name of this gateway
     * @param settings supplies the limits of orders; empty if there are no orders in this deployment
     * @param ordersKnown tells whether the orders have been read since the start
     */
    public Rollouts(
            Scheduler scheduler,
            PlatformView view,
            RateLimitedLog log,
            Telemetry telemetry,
            String node,
            Supplier<Optional<RolloutSettings>> settings,
            RolloutStore store,
            TargetLoads loads,
            PauseGuard pauseGuard,
            BooleanSupplier ordersKnown) {
        this.scheduler = scheduler;
        this.view = view;
        this.log = log;
        this.telemetry = telemetry;
        this.node = node;
        this.settings = settings;
        this.writer = new RolloutWriter(store, node);
        this.loads = loads;
        this.pauseGuard = pauseGuard;
        this.ordersKnown = ordersKnown;
    }

    /** Starts to examine orders and to share what comes of them with the peers. */
    public void start(PeerLinks peerLinks) {
        links = peerLinks;
        incarnation = scheduler.now().toEpochMilli();
        examine();
    }

    /** Replaces the orders by those that the store lists. */
    public void handleOrders(List<RolloutOrder> orders) {
        settings.get().ifPresent(limits -> {
            List<String> pools = orders.stream().map(RolloutOrder::pool).toList();
            rollouts.values().stream()
                    .filter(rollout -> !pools.contains(rollout.order().pool()))
                    .forEach(this::withhold);
            rollouts.keySet().retainAll(pools);
            orders.forEach(order -> handleOrder(order, limits));
        });
    }

    private void handleOrder(RolloutOrder order, RolloutSettings limits) {
        Rollout known = rollouts.get(order.pool());
        if (known != null && known.order().sameAs(order)) {
            if (known.order().state() != order.state()) {
                logStep(GatewayEvent.ROLLOUT_STATE, known, order.state().name());
            }
            known.update(order);
            return;
        }
        if (known != null) {
            withhold(known);
        }
        withheld.getOrDefault(order.pool(), new HashSet<>()).remove(order.version());
        Rollout begun = new Rollout(order, limits, node, incarnation, scheduler.nanoTime());
        rollouts.put(order.pool(), begun);
        logStep(GatewayEvent.ROLLOUT_ORDERED, begun, order.state().name());
    }

    private void withhold(Rollout ended) {
        if (ended.state() != RolloutState.COMPLETED) {
            withheld.computeIfAbsent(ended.order().pool(), _pool -> new HashSet<>())
                    .add(ended.order().version());
        }
    }

    private void examine() {
        scheduler.schedule(INTERVAL, this::examine);
        // After a pause of the process, what peers have told in the meantime is read first.
        pauseGuard.run(() -> {
            long now = scheduler.nanoTime();
            if (settings.get().isPresent()) {
                hold.observe(view.directory().softwareVersions(), now);
                rollouts.values().forEach(rollout -> examine(rollout, now));
            }
        });
    }

    private void examine(Rollout rollout, long now) {
        if (rollout.advance(now, inFlightAtOthers(rollout), listedPeers())) {
            telemetry.count("rollout_" + rollout.step().name().toLowerCase(Locale.ROOT));
            logStep(GatewayEvent.ROLLOUT_STEP, rollout, rollout.step().name());
        }
        PeerLinks peers = links;
        if (peers != null && rollout.consumeChanged()) {
            peers.broadcast(frame(rollout));
        }
        writer.writeIfDue(rollout, peers == null ? Set.of() : peers.reachable(), now);
    }

    private int inFlightAtOthers(Rollout rollout) {
        return view.directory().all(rollout.order().pool()).stream()
                .filter(target -> !rollout.isNew(target))
                .mapToInt(target -> loads.load(target).shared().ownInFlight())
                .sum();
    }

    private List<String> listedPeers() {
        return view.gateways().stream()
                .map(GatewayAddress::name)
                .filter(name -> !name.equals(node))
                .toList();
    }

    /** Returns which targets of a pool the next request may go to. */
    public VersionFilter filter(String pool) {
        if (settings.get().isEmpty()) {
            return VersionFilter.ALL;
        }
        Rollout rollout = rollouts.get(pool);
        if (rollout != null) {
            return rollout.filter(view.sharingGateways());
        }
        if (!ordersKnown.getAsBoolean()) {
            return onlyIfSingle(pool);
        }
        Set<String> served = hold.served(pool, scheduler.nanoTime());
        Set<String> rejected = withheld.getOrDefault(pool, Set.of());
        Predicate<TargetRecord> may = target -> (served.isEmpty() || served.contains(target.softwareVersion()))
                && !rejected.contains(target.softwareVersion());
        return new VersionFilter(may, may);
    }

    /** Permits a pool of several versions nothing while it is not known whether there is an order. */
    private VersionFilter onlyIfSingle(String pool) {
        boolean single = view.directory().usable(pool).stream()
                        .map(TargetRecord::softwareVersion)
                        .distinct()
                        .count()
                <= 1;
        return new VersionFilter(_target -> single, _target -> single);
    }

    private Stream<Rollout> running(TargetRecord target) {
        Rollout rollout = rollouts.get(target.pool());
        return rollout == null || rollout.order().state().last() ? Stream.empty() : Stream.of(rollout);
    }

    /** Records a request that is sent to a target. */
    public void recordSent(TargetRecord target, String route) {
        running(target).forEach(rollout -> rollout.recordSent(target, route));
    }

    /**
     * Records an answer or the first event of a stream.
     *
     * @param tokens prompt tokens that the target had to read first
     * @param warm whether the target was warm; a cold one is slow for another reason than its version
     */
    public void recordAnswer(TargetRecord target, String route, long tokens, Duration took, boolean warm) {
        running(target).forEach(rollout -> {
            boolean slow = warm && usualTimes.slow(route, tokens, took);
            rollout.count(target, route, new VersionCounts(0, slow ? 0 : 1, 0, slow ? 1 : 0));
            if (!rollout.isNew(target)) {
                usualTimes.record(route, tokens, took);
            }
        });
    }

    /**
     * Records a send that was ended before its answer, by its caller or since another send was answered first. It
     * counts as slow if it has lasted longer than a slow answer takes, and not at all otherwise.
     *
     * @param tokens prompt tokens that the target had to read first
     * @param warm whether the target was warm
     */
    public void recordCancelled(TargetRecord target, String route, long tokens, Duration lasted, boolean warm) {
        if (warm && usualTimes.slow(route, tokens, lasted)) {
            running(target).forEach(rollout -> rollout.count(target, route, new VersionCounts(0, 0, 0, 1)));
        }
    }

    /** Records a request that failed at a target. */
    public void recordFailed(TargetRecord target, String route) {
        running(target).forEach(rollout -> rollout.count(target, route, new VersionCounts(0, 0, 1, 0)));
    }

    /** Merges what a peer tells of an order. */
    public void handle(String peer, RolloutStatus status) {
        Rollout rollout = rollouts.get(status.getPool());
        if (rollout != null && rollout.order().version().equals(status.getVersion())) {
            rollout.merge(peer, status, scheduler.nanoTime());
        }
    }

    /** Tells a new peer what is known. */
    public void greet(PeerCaller caller) {
        rollouts.values().forEach(rollout -> caller.send(frame(rollout)));
    }

    /** Forgets that a peer has moved, since it may have started anew. */
    public void peerDisconnected(String peer) {
        rollouts.values().forEach(rollout -> rollout.forgetPeer(peer));
    }

    /** Returns the number of orders that have not ended. */
    public int running() {
        return (int) rollouts.values().stream()
                .filter(rollout -> !rollout.order().state().last())
                .count();
    }

    private PeerFrame frame(Rollout rollout) {
        return PeerFrame.newBuilder()
                .setRolloutStatus(rollout.status(scheduler.nanoTime()))
                .build();
    }

    private void logStep(GatewayEvent event, Rollout rollout, String state) {
        VersionCounts counts = rollout.newCounts();
        log.important(event)
                .addKeyValue("pool", rollout.order().pool())
                .addKeyValue("version", rollout.order().version())
                .addKeyValue("state", state)
                .addKeyValue("durationMillis", rollout.order().duration().toMillis())
                .addKeyValue("sent", counts.sent())
                .addKeyValue("ended", counts.ended())
                .addKeyValue("failed", counts.failed())
                .addKeyValue("slow", counts.slow())
                .log();
    }
}
