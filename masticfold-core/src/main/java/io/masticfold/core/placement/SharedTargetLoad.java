package io.masticfold.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Load, speed and failures of one incarnation of a target, from what this gateway and its peers have there. Each
 * gateway tells its own requests in flight, so that the sum is the load of the target even if it reports none. Used by
 * one thread.
 */
public final class SharedTargetLoad {

    /**
     * Age at which a reported pace has no weight left. The pace depends on other workloads of the machine and changes
     * several times a second.
     */
    static final Duration MAX_PACE_AGE = Duration.ofMillis(600);

    /**
     * Time in which an observed failure or duration loses half of its weight, so that a target that has recovered gets
     * requests again within seconds.
     */
    static final Duration OBSERVATION_HALF_LIFE = Duration.ofSeconds(3);

    /** Answers for which the assumption that a target does not fail counts. */
    private static final double PRIOR_ANSWERS = 2;

    /** Time, in milliseconds of work, for which the assumption that a target has the usual speed counts. */
    private static final double PRIOR_WORK_MILLIS = 500;

    /** Bounds of the slowdown of a target, so that a single outlier neither excludes nor attracts a pool. */
    private static final double MIN_SLOWDOWN = 0.25;

    private static final double MAX_SLOWDOWN = 20;

    private static final double USUAL_PACE = 1;

    private final Map<String, PeerLoad> peers = new HashMap<>();
    private final DecayingRatio failures = new DecayingRatio(OBSERVATION_HALF_LIFE, 0, PRIOR_ANSWERS);
    private final DecayingRatio slowdown = new DecayingRatio(OBSERVATION_HALF_LIFE, 1, PRIOR_WORK_MILLIS);
    private int inFlight;
    private long queuedTokens;
    private double pace = USUAL_PACE;
    private long paceNanos;
    private boolean paceReported;

    /** Records that this gateway sends a request. */
    public void sent(long tokens) {
        inFlight++;
        queuedTokens += tokens;
    }

    /** Records that a request of this gateway has produced its first token or has ended without one. */
    public void firstToken(long tokens) {
        queuedTokens -= tokens;
    }

    /** Records that a request of this gateway has ended. */
    public void ended() {
        inFlight--;
    }

    /**
     * Records outcomes of requests, of this gateway or of a peer.
     *
     * @param answered number of complete answers
     * @param failed number of sends that failed, for other reasons than that the target declined the request
     */
    public void recordOutcomes(int answered, int failed, long nowNanos) {
        failures.add(failed, answered + failed, nowNanos);
    }

    /**
     * Records how long requests took, of this gateway or of a peer.
     *
     * @param observedMillis sum of the times until an answer or the first event
     * @param expectedMillis sum of the times that an average target would have needed
     */
    public void recordDurations(double observedMillis, double expectedMillis, long nowNanos) {
        slowdown.add(observedMillis, expectedMillis, nowNanos);
    }

    /** Records the pace that the target reported at a time; has no effect if a later report is known. */
    public void recordPace(double reported, long reportNanos) {
        if (!paceReported || reportNanos - paceNanos > 0) {
            pace = reported;
            paceNanos = reportNanos;
            paceReported = true;
        }
    }

    /** Replaces what a peer has at the target. */
    public void recordPeer(String peer, int requests, long tokens) {
        if (requests == 0 && tokens == 0) {
            peers.remove(peer);
        } else {
            peers.put(peer, new PeerLoad(requests, tokens));
        }
    }

    /** Forgets the requests of a peer whose connection is lost; if it still runs, it tells them again. */
    public void forgetPeer(String peer) {
        peers.remove(peer);
    }

    /** Returns the number of requests of this gateway. */
    public int ownInFlight() {
        return inFlight;
    }

    /** Returns the number of unread prompt tokens of this gateway's requests. */
    public long ownQueuedTokens() {
        return queuedTokens;
    }

    /** Returns the number of requests of all gateways. */
    public int inFlight() {
        return inFlight + peers.values().stream().mapToInt(PeerLoad::inFlight).sum();
    }

    /** Returns the number of unread prompt tokens of the requests of all gateways. */
    public long queuedTokens() {
        return queuedTokens
                + peers.values().stream().mapToLong(PeerLoad::tokens).sum();
    }

    /** Returns the share of recent sends that failed, 0 to 1. */
    public double failureRate(long nowNanos) {
        return failures.value(nowNanos);
    }

    /**
     * Returns by which factor the target is slower than an average one now: the slowdown that recent requests met, or
     * the reported pace if that is worse, weighted by the age of the report.
     */
    public double slowdown(long nowNanos) {
        double observed = Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, slowdown.value(nowNanos)));
        return Math.max(observed, pace(nowNanos) > USUAL_PACE ? pace(nowNanos) : observed);
    }

    /** Returns the reported pace, which approaches the usual one of 1 with the age of the report. */
    public double pace(long nowNanos) {
        double weight = paceReported ? 1 - (double) (nowNanos - paceNanos) / MAX_PACE_AGE.toNanos() : 0;
        return weight <= 0 ? USUAL_PACE : USUAL_PACE + (pace - USUAL_PACE) * Math.min(1, weight);
    }

    /** What a peer has at the target. */
    private record PeerLoad(int inFlight, long tokens) {}
}
