package io.masticfold.gateway.rollout;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.rollout.ExposureLimit;
import io.masticfold.core.rollout.RolloutEvidence;
import io.masticfold.core.rollout.RolloutEvidence.VersionRoute;
import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.rollout.RolloutPolicy;
import io.masticfold.core.rollout.RolloutSettings;
import io.masticfold.core.rollout.RolloutState;
import io.masticfold.core.rollout.RolloutStep;
import io.masticfold.core.rollout.VersionCounts;
import io.masticfold.gateway.peer.proto.RolloutStatus;
import io.masticfold.gateway.peer.proto.VersionCount;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One order as this gateway takes part in it. Not thread-safe. */
final class Rollout {

    private final String self;
    private final long incarnation;
    private long startNanos;
    private final ExposureLimit limit;
    private final RolloutEvidence evidence = new RolloutEvidence();
    private final Set<String> movedPeers = new HashSet<>();
    private RolloutOrder order;
    private RolloutStep step = RolloutStep.EXPOSE;
    private boolean ownMoved;
    private boolean changed = true;

    Rollout(RolloutOrder order, RolloutSettings settings, String self, long incarnation, long nowNanos) {
        this.order = order;
        this.self = self;
        this.incarnation = incarnation;
        this.startNanos = nowNanos;
        // A gateway that sees an order late may have used its part of the slack before a restart.
        this.limit = new ExposureLimit(settings, order.state() == RolloutState.ORDERED);
    }

    RolloutOrder order() {
        return order;
    }

    void update(RolloutOrder newer) {
        order = newer;
    }

    RolloutStep step() {
        return step;
    }

    /** Returns the state that all gateways agree on, or the final one that this gateway has decided on. */
    RolloutState state() {
        if (order.state().last()) {
            return order.state();
        }
        return switch (step) {
            case COMPLETE -> RolloutState.COMPLETED;
            case ROLL_BACK -> RolloutState.ROLLED_BACK;
            case EXPOSE, MOVE -> RolloutState.RUNNING;
        };
    }

    boolean isNew(TargetRecord target) {
        return target.softwareVersion().equals(order.version());
    }

    VersionFilter filter(int gateways) {
        if (order.state() == RolloutState.COMPLETED) {
            return new VersionFilter(this::isNew, this::isNew);
        }
        if (order.state() == RolloutState.ROLLED_BACK || step == RolloutStep.ROLL_BACK) {
            return new VersionFilter(target -> !isNew(target), target -> !isNew(target));
        }
        if (step == RolloutStep.EXPOSE) {
            return limit.permits(gateways)
                    ? new VersionFilter(_target -> true, this::isNew)
                    : new VersionFilter(target -> !isNew(target), target -> !isNew(target));
        }
        return new VersionFilter(_target -> true, this::isNew);
    }

    void recordSent(TargetRecord target, String route) {
        limit.record(isNew(target));
        count(target, route, new VersionCounts(1, 0, 0, 0));
    }

    void count(TargetRecord target, String route, VersionCounts more) {
        evidence.add(source(self, incarnation), new VersionRoute(target.softwareVersion(), route), more);
        changed = true;
    }

    /**
     * Decides on the next step.
     *
     * @param inFlightAtOthers requests of this gateway that run at other versions
     * @param peers gateways that are listed, besides this one
     * @return whether the step has changed
     */
    boolean advance(long nowNanos, int inFlightAtOthers, Collection<String> peers) {
        boolean movedNow = step == RolloutStep.MOVE && inFlightAtOthers == 0;
        changed |= movedNow != ownMoved;
        ownMoved = movedNow;
        // A final step is kept: the news of it may have reached targets and peers already.
        if (order.state().last() || step == RolloutStep.COMPLETE || step == RolloutStep.ROLL_BACK) {
            return false;
        }
        RolloutStep next = RolloutPolicy.decide(
                Duration.ofNanos(nowNanos - startNanos),
                order.duration(),
                evidence.byRoute(order.version(), true),
                evidence.byRoute(order.version(), false),
                ownMoved && movedPeers.containsAll(peers));
        boolean steps = next != step;
        step = next;
        changed |= steps;
        return steps;
    }

    /** Returns the number of bad responses of the new version and of its requests that have ended. */
    VersionCounts newCounts() {
        return evidence.byRoute(order.version(), true).values().stream()
                .reduce(VersionCounts.NONE, VersionCounts::plus);
    }

    /** Returns whether the peers have to be told of a change, and takes it for told. */
    boolean takeChanged() {
        boolean taken = changed;
        changed = false;
        return taken;
    }

    RolloutStatus status(long nowNanos) {
        RolloutStatus.Builder status = RolloutStatus.newBuilder()
                .setPool(order.pool())
                .setVersion(order.version())
                .setElapsedMillis((int) Math.min(
                        Integer.MAX_VALUE,
                        Duration.ofNanos(nowNanos - startNanos).toMillis()))
                .setStopped(step == RolloutStep.ROLL_BACK)
                .setMoved(ownMoved)
                .setIncarnation(incarnation);
        evidence.of(source(self, incarnation))
                .forEach((key, counts) -> status.addCounts(VersionCount.newBuilder()
                        .setVersion(key.version())
                        .setRoute(key.route())
                        .setSent(counts.sent())
                        .setAnswered(counts.answered())
                        .setFailed(counts.failed())
                        .setSlow(counts.slow())));
        return status.build();
    }

    void merge(String peer, RolloutStatus status, long nowNanos) {
        long peerStart = nowNanos - Duration.ofMillis(status.getElapsedMillis()).toNanos();
        startNanos = Math.min(startNanos, peerStart);
        Map<VersionRoute, VersionCounts> counts = new HashMap<>();
        status.getCountsList()
                .forEach(count -> counts.put(
                        new VersionRoute(count.getVersion(), count.getRoute()),
                        new VersionCounts(count.getSent(), count.getAnswered(), count.getFailed(), count.getSlow())));
        evidence.replace(source(peer, status.getIncarnation()), counts);
        if (status.getMoved()) {
            movedPeers.add(peer);
        } else {
            movedPeers.remove(peer);
        }
        if (status.getStopped() && !order.state().last() && step != RolloutStep.COMPLETE) {
            step = RolloutStep.ROLL_BACK;
        }
    }

    void forgetPeer(String peer) {
        movedPeers.remove(peer);
    }

    private static String source(String gateway, long incarnation) {
        return gateway + "@" + incarnation;
    }
}
