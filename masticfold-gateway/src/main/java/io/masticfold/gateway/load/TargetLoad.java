package io.masticfold.gateway.load;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.placement.SharedTargetLoad;
import io.masticfold.gateway.peer.proto.TargetObservation;
import java.time.Duration;

/**
 * Load of one incarnation of a target, and what the peers have not been told of it yet. Used by one thread.
 */
public final class TargetLoad {

    private static final int PERCENT = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String incarnation;
    private final String pool;
    private final SharedTargetLoad shared = new SharedTargetLoad();
    private boolean changed;
    private int answered;
    private int failed;
    private double observedMillis;
    private double expectedMillis;
    private double pace;
    private long paceNanos;

    TargetLoad(TargetRecord target) {
        this.incarnation = target.incarnation();
        this.pool = target.pool();
    }

    /** Returns the load with what the peers have told. */
    public SharedTargetLoad shared() {
        return shared;
    }

    /** Records that this gateway sends a request. */
    public void sent(long tokens) {
        shared.sent(tokens);
        changed = true;
    }

    /** Records that a request has produced its first token or has ended without one. */
    public void firstToken(long tokens) {
        shared.firstToken(tokens);
        changed = true;
    }

    /** Records that a request has ended. */
    public void ended() {
        shared.ended();
        changed = true;
    }

    /** Records a complete answer. */
    public void answered(long nowNanos) {
        shared.recordOutcomes(1, 0, nowNanos);
        answered++;
        changed = true;
    }

    /** Records a send that failed, for another reason than that the target declined the request. */
    public void failed(long nowNanos) {
        shared.recordOutcomes(0, 1, nowNanos);
        failed++;
        changed = true;
    }

    /** Records the time until an answer or the first event, and what an average target would have needed. */
    public void tookMillis(double observed, double expected, long nowNanos) {
        shared.recordDurations(observed, expected, nowNanos);
        observedMillis += observed;
        expectedMillis += expected;
        changed = true;
    }

    /** Records the pace that the target has reported. */
    public void paceReported(double reported, long nowNanos) {
        shared.recordPace(reported, nowNanos);
        pace = reported;
        paceNanos = nowNanos;
        changed = true;
    }

    /** Makes the next status tell the peers of this target even if nothing has changed. */
    void markChanged() {
        changed |= shared.ownInFlight() > 0;
    }

    String pool() {
        return pool;
    }

    boolean changed() {
        return changed;
    }

    /** Returns what has changed since the last call. */
    TargetObservation observation(long nowNanos) {
        TargetObservation observation = TargetObservation.newBuilder()
                .setTarget(incarnation)
                .setPool(pool)
                .setInFlight(Math.max(0, shared.ownInFlight()))
                .setQueuedTokens((int) Math.max(0, Math.min(Integer.MAX_VALUE, shared.ownQueuedTokens())))
                .setAnswered(answered)
                .setFailed(failed)
                .setObservedMillis((int) observedMillis)
                .setExpectedMillis((int) expectedMillis)
                .setPacePercent((int) Math.round(pace * PERCENT))
                .setPaceAgeMillis((int) ((nowNanos - paceNanos) / NANOS_PER_MILLI))
                .build();
        changed = false;
        answered = 0;
        failed = 0;
        observedMillis = 0;
        expectedMillis = 0;
        pace = 0;
        return observation;
    }

    /** Merges what a peer has observed. */
    void merge(String peer, TargetObservation observed, long nowNanos) {
        shared.recordPeer(peer, observed.getInFlight(), observed.getQueuedTokens());
        if (observed.getAnswered() + observed.getFailed() > 0) {
            shared.recordOutcomes(observed.getAnswered(), observed.getFailed(), nowNanos);
        }
        if (observed.getObservedMillis() > 0) {
            shared.recordDurations(observed.getObservedMillis(), observed.getExpectedMillis(), nowNanos);
        }
        if (observed.getPacePercent() > 0) {
            shared.recordPace(
                    (double) observed.getPacePercent() / PERCENT,
                    nowNanos - Duration.ofMillis(observed.getPaceAgeMillis()).toNanos());
        }
    }
}
