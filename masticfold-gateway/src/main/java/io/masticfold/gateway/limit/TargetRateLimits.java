package io.masticfold.gateway.limit;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.limit.TargetPauses;
import io.masticfold.core.limit.TargetRateLimit;
import io.masticfold.core.limit.TargetRateShare;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.NamedLimit;
import io.masticfold.gateway.peer.proto.NamedLimits;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.protocol.TargetSignals;
import io.masticfold.gateway.store.PlatformView;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;

/**
 * Knows the rate limits that targets name, from the answers that this gateway and its peers get, and keeps this
 * gateway's share of each, and the pauses that targets have asked this gateway for. Not thread-safe.
 */
public final class TargetRateLimits {

    /** Number of targets with a state above which those that are gone are dropped. */
    private static final int CLEANUP_SIZE = 64;

    private final Scheduler scheduler;
    private final PlatformView view;
    private final RateLimitedLog log;
    private final Telemetry telemetry;
    private final String node;
    private final Map<String, TargetRateLimit> limits = new HashMap<>();
    private final TargetPauses pauses;
    private int cleanupSize = CLEANUP_SIZE;
    private @Nullable PeerLinks links;

    /**
     * Creates the state without limits.
     *
     * @param node name of this gateway
     */
    public TargetRateLimits(
            Scheduler scheduler, PlatformView view, RateLimitedLog log, Telemetry telemetry, String node) {
        this.scheduler = scheduler;
        this.pauses = new TargetPauses(scheduler);
        this.view = view;
        this.log = log;
        this.telemetry = telemetry;
        this.node = node;
    }

    /** Starts to share what is known with the peers. */
    public void start(PeerLinks peerLinks) {
        links = peerLinks;
    }

    /**
     * Records an answer of a target.
     *
     * @param signals what the target says of itself in the answer
     */
    public void recordAnswer(TargetRecord target, TargetSignals signals) {
        String key = target.incarnation();
        signals.malformed().forEach(defect -> telemetry.count(defect.counter()));
        if (!signals.pause().isZero() && pauses.record(key, signals.pause())) {
            telemetry.count("target_paused");
            log.important(GatewayEvent.TARGET_PAUSED)
                    .addKeyValue("target", key)
                    .addKeyValue("pauseMillis", signals.pause().toMillis())
                    .log();
        }
        recordLimit(key, signals.limit());
    }

    private void recordLimit(String key, OptionalDouble named) {
        TargetRateLimit known = limits.get(key);
        if (known == null && named.isEmpty()) {
            return;
        }
        TargetRateLimit limit = known == null ? add(key) : known;
        if (limit.recordAnswer(named)) {
            logChange(key, limit, "");
            PeerLinks peers = links;
            if (peers != null) {
                peers.broadcast(frame(NamedLimits.newBuilder().addLimits(encode(key, limit))));
            }
        }
    }

    /** Returns the time until this gateway may send a request to the target; zero if it may send one now. */
    public Duration waitTime(TargetRecord target) {
        String key = target.incarnation();
        Duration pause = pauses.remaining(key);
        TargetRateLimit limit = limits.get(key);
        Duration wait = limit == null ? Duration.ZERO : limit.waitTime(share(key, limit));
        return wait.compareTo(pause) > 0 ? wait : pause;
    }

    /** Records that a request is sent to the target. */
    public void recordSend(TargetRecord target) {
        TargetRateLimit limit = limits.get(target.incarnation());
        if (limit != null) {
            limit.recordSend();
        }
    }

    private TargetRateShare share(String key, TargetRateLimit limit) {
        PeerLinks peers = links;
        return TargetRateShare.of(
                limit.limit(), key, node, peers == null ? List.of() : peers.reachable(), view.sharingGateways());
    }

    /** Merges what a peer has observed. */
    public void handle(String peer, NamedLimits named) {
        for (NamedLimit observed : named.getLimitsList()) {
            double perSecond = observed.getPerSecond();
            if (!Double.isFinite(perSecond) || perSecond < 0) {
                continue;
            }
            TargetRateLimit known = limits.get(observed.getTarget());
            TargetRateLimit limit = known == null ? add(observed.getTarget()) : known;
            long nanos = scheduler.nanoTime()
                    - Duration.ofMillis(observed.getAgeMillis()).toNanos();
            if (limit.recordPeer(perSecond, nanos)) {
                logChange(observed.getTarget(), limit, peer);
            }
        }
    }

    /** Tells a new peer the limits that are known. */
    public void greet(PeerCaller caller) {
        NamedLimits.Builder known = NamedLimits.newBuilder();
        limits.forEach((key, limit) -> {
            if (limit.limited()) {
                known.addLimits(encode(key, limit));
            }
        });
        if (known.getLimitsCount() > 0) {
            caller.send(frame(known));
        }
    }

    /** Returns the number of targets that name a limit. */
    public int limitedTargets() {
        return (int) limits.values().stream().filter(TargetRateLimit::limited).count();
    }

    private TargetRateLimit add(String key) {
        if (limits.size() >= cleanupSize) {
            limits.keySet().removeIf(this::gone);
            cleanupSize = Math.max(CLEANUP_SIZE, 2 * limits.size());
        }
        TargetRateLimit limit = new TargetRateLimit(scheduler);
        limits.put(key, limit);
        return limit;
    }

    private boolean gone(String key) {
        return view.directory()
                .find(key.substring(0, key.lastIndexOf('@')))
                .filter(target -> target.incarnation().equals(key))
                .isEmpty();
    }

    private NamedLimit encode(String key, TargetRateLimit limit) {
        Duration age = Duration.ofNanos(scheduler.nanoTime() - limit.observedNanos());
        return NamedLimit.newBuilder()
                .setTarget(key)
                .setPerSecond(limit.limit())
                .setAgeMillis((int) Math.max(0, age.toMillis()))
                .build();
    }

    private static PeerFrame frame(NamedLimits.Builder limits) {
        return PeerFrame.newBuilder().setNamedLimits(limits).build();
    }

    private void logChange(String key, TargetRateLimit limit, String peer) {
        telemetry.count(limit.limited() ? "target_limit_named" : "target_limit_lifted");
        log.important(limit.limited() ? GatewayEvent.TARGET_LIMIT_NAMED : GatewayEvent.TARGET_LIMIT_LIFTED)
                .addKeyValue("target", key)
                .addKeyValue("perSecond", limit.limit())
                .addKeyValue("share", share(key, limit).perSecond())
                .addKeyValue("peer", peer)
                .log();
    }
}
