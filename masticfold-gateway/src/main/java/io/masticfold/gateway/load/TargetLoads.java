package io.masticfold.gateway.load;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.placement.ServiceTimeModel;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.TargetObservation;
import io.masticfold.gateway.store.PlatformView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Knows the load of targets. Gateways tell each other what they have at the targets of those pools that report their
 * pace, with the status that they exchange anyway. Not thread-safe.
 */
public final class TargetLoads {

    /** Number of targets with a state above which those that are gone are dropped. */
    private static final int CLEANUP_SIZE = 64;

    private final Scheduler scheduler;
    private final PlatformView view;
    private final Telemetry telemetry;
    private final Map<String, TargetLoad> loads = new HashMap<>();
    private final Map<String, ServiceTimeModel> models = new HashMap<>();
    private final Set<String> pacedPools = new HashSet<>();
    private int cleanupSize = CLEANUP_SIZE;

    /** Creates the state without targets. */
    public TargetLoads(Scheduler scheduler, PlatformView view, Telemetry telemetry) {
        this.scheduler = scheduler;
        this.view = view;
        this.telemetry = telemetry;
    }

    /** Returns the load of an incarnation of a target. */
    public TargetLoad load(TargetRecord target) {
        TargetLoad known = loads.get(target.incarnation());
        if (known != null) {
            return known;
        }
        if (loads.size() >= cleanupSize) {
            loads.entrySet().removeIf(entry -> entry.getValue().shared().ownInFlight() == 0 && gone(entry.getKey()));
            cleanupSize = Math.max(CLEANUP_SIZE, 2 * loads.size());
        }
        TargetLoad created = new TargetLoad(target);
        loads.put(target.incarnation(), created);
        return created;
    }

    /** Returns the time that an average target of a pool needs for a request. */
    public ServiceTimeModel model(String pool) {
        return models.computeIfAbsent(pool, _pool -> new ServiceTimeModel());
    }

    /** Records that a target of a pool has reported its pace. */
    public void recordPace(String pool) {
        if (pacedPools.add(pool)) {
            telemetry.count("pool_reports_pace");
        }
    }

    /** Returns whether targets of a pool report their pace, so that requests are placed by expected time. */
    public boolean paced(String pool) {
        return pacedPools.contains(pool);
    }

    /** Returns the number of pools whose targets report their pace. */
    public int pacedPools() {
        return pacedPools.size();
    }

    /** Adds to the status of this gateway what has changed since the last one. */
    public void addTo(PeerStatus.Builder status) {
        if (pacedPools.isEmpty()) {
            return;
        }
        long now = scheduler.nanoTime();
        loads.values().stream()
                .filter(TargetLoad::changed)
                .filter(load -> pacedPools.contains(load.pool()))
                .forEach(load -> status.addTargets(load.observation(now)));
    }

    /** Merges what a peer has observed. Targets that are not listed here are ignored. */
    public void handle(String peer, PeerStatus status) {
        long now = scheduler.nanoTime();
        for (TargetObservation observed : status.getTargetsList()) {
            String incarnation = observed.getTarget();
            TargetLoad known = loads.get(incarnation);
            if (known != null) {
                recordPace(known.pool());
                known.merge(peer, observed, now);
                continue;
            }
            view.directory()
                    .find(incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('@'))))
                    .filter(target -> target.incarnation().equals(incarnation))
                    .ifPresent(target -> {
                        recordPace(target.pool());
                        load(target).merge(peer, observed, now);
                    });
        }
    }

    /** Makes the next status tell a new peer of all requests in flight. */
    public void peerConnected() {
        loads.values().forEach(TargetLoad::markChanged);
    }

    /** Forgets the requests of a peer whose connection is lost. */
    public void peerDisconnected(String peer) {
        loads.values().forEach(load -> load.shared().forgetPeer(peer));
    }

    private boolean gone(String incarnation) {
        return view.directory()
                .find(incarnation.substring(0, incarnation.lastIndexOf('@')))
                .filter(target -> target.incarnation().equals(incarnation))
                .isEmpty();
    }
}
