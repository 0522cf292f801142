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
    private final Set<String> knownSources = new HashSet<>();
    private long begunRevision;
    private RolloutOrder order;
    private RolloutStep step;
    private RolloutStep examinedStep;
    private boolean ownMoved;
    private boolean changed = true;

    Rollout(RolloutOrder order, RolloutSettings settings, String self, long incarnation, long nowNanos) {
        this.order = order;
        this.begunRevision = order.revision();
        this.step = storedStep(order.state(), RolloutStep.EXPOSE);
        this.examinedStep = step;
        this.self = self;
        this.incarnation = incarnation;
        this.startNanos = nowNanos;
        // A gateway that sees an order late may have used its part of the slack before a restart.
        this.limit = new ExposureLimit(settings, order.state() == RolloutState.ORDERED);
    }

    RolloutOrder order() {
        return order;
    }

    /** Replaces the stored state of the same order. A final state is kept even if the store loses it later. */
    void update(RolloutOrder newer) {
        changed |= newer.revision() != order.revision();
        begunRevision = Math.min(begunRevision, newer.revision());
        order = newer;
        step = storedStep(newer.state(), step);
    }

    private static RolloutStep storedStep(RolloutState state, RolloutStep otherwise) {
        return switch (state) {
            case COMPLETED -> RolloutStep.COMPLETE;
            case ROLLED_BACK -> RolloutStep.ROLL_BACK;
            case ORDERED, RUNNING -> otherwise;
        };
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
            case EXPOSE, MOVE, STOP -> RolloutState.RUNNING;
        };
    }

    boolean isNew(TargetRecord target) {
        return target.softwareVersion().equals(order.version());
    }

    VersionFilter filter(int gateways) {
        VersionFilter onlyNew = new VersionFilter(this::isNew, this::isNew);
        VersionFilter onlyOthers = new VersionFilter(target -> !isNew(target), target -> !isNew(target));
        VersionFilter newFirst = new VersionFilter(_target -> true, this::isNew);
        return switch (step) {
            case EXPOSE -> limit.permits(gateways) ? newFirst : onlyOthers;
            case MOVE -> ownMoved ? onlyNew : newFirst;
            case COMPLETE -> onlyNew;
            case STOP, ROLL_BACK -> onlyOthers;
        };
    }

    void recordSent(TargetRecord target, String route) {
        limit.record(isNew(target));
        count(target, route, new VersionCounts(1, 0, 0, 0));
    }

    void count(TargetRecord target, String route, VersionCounts more) {
        evidence.add(source(self, incarnation), new VersionRoute(target.softwareVersion(), route), more);
        changed = true;
        if (isNew(target) && more.bad() > 0) {
            stopAtMaxBad();
        }
    }

    /** Stops sends at once, since many requests may be sent until the order is examined next. */
    private void stopAtMaxBad() {
        boolean sends = step == RolloutStep.EXPOSE || step == RolloutStep.MOVE;
        if (sends && RolloutPolicy.hasReachedMaxBad(evidence.byRoute(order.version(), true))) {
            step = RolloutStep.STOP;
        }
    }

    /**
     * Decides on the next step.
     *
     * @param inFlightAtOthers requests of this gateway that run at other versions
     * @param peers gateways that are listed, besides this one
     * @return whether the step has changed since the last call
     */
    boolean advance(long nowNanos, int inFlightAtOthers, Collection<String> peers) {
        boolean movedNow = step == RolloutStep.MOVE && inFlightAtOthers == 0;
        changed |= movedNow != ownMoved;
        ownMoved = movedNow;
        if (!order.state().last() && step != RolloutStep.ROLL_BACK) {
            Duration elapsed = Duration.ofNanos(nowNanos - startNanos);
            Map<String, VersionCounts> newCounts = evidence.byRoute(order.version(), true);
            Map<String, VersionCounts> oldCounts = evidence.byRoute(order.version(), false);
            boolean moved = ownMoved && movedPeers.containsAll(peers);
            RolloutStep next = step == RolloutStep.MOVE
                    ? RolloutPolicy.decideWhileMoving(elapsed, order.duration(), newCounts, oldCounts, moved)
                    : RolloutPolicy.decide(elapsed, order.duration(), newCounts, oldCounts, moved);
            // Completion is taken back only for a version that turns out bad before the state is stored.
            step = step != RolloutStep.COMPLETE || foundBad() ? next : step;
        }
        boolean steps = step != examinedStep;
        examinedStep = step;
        changed |= steps;
        return steps && !order.state().last();
    }

    /** Returns the number of bad responses of the new version and of its requests that have ended. */
    VersionCounts newCounts() {
        return evidence.byRoute(order.version(), true).values().stream()
                .reduce(VersionCounts.NONE, VersionCounts::plus);
    }

    /** Returns whether this gateway judges by bad responses, and not for want of responses. */
    private boolean foundBad() {
        return RolloutPolicy.isBad(evidence.byRoute(order.version(), true), evidence.byRoute(order.version(), false));
    }

    /** Returns whether the peers have to be told of a change, and marks it as told. */
    boolean consumeChanged() {
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
                .setRevision(order.revision())
                .setStopped(step == RolloutStep.ROLL_BACK && foundBad())
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

    /** Merges what a peer tells of this order; frames about an earlier order of the same version are ignored. */
    void merge(String peer, RolloutStatus status, long nowNanos) {
        if (status.getRevision() < begunRevision) {
            return;
        }
        // A peer that has just learned of the order has missed what was told before.
        changed |= knownSources.add(source(peer, status.getIncarnation()));
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
        if (status.getStopped() && !order.state().last()) {
            step = RolloutStep.ROLL_BACK;
        }
        stopAtMaxBad();
    }

    void forgetPeer(String peer) {
        movedPeers.remove(peer);
    }

    private static String source(String gateway, long incarnation) {
        return gateway + "@" + incarnation;
    }
}
