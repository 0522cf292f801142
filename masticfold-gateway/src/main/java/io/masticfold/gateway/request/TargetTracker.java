package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.placement.SharedTargetLoad;
import io.masticfold.core.placement.TargetCandidate;
import io.masticfold.core.placement.TargetLoadView;
import io.masticfold.gateway.load.TargetLoad;
import io.masticfold.gateway.protocol.TargetLoadReport;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/** Tracks the load and the failures of one target as this gateway observes them. Used by one thread. */
final class TargetTracker {

    /** Age above which a load report of a target is ignored. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(400);

    /** Time for which a target stays suspect, that is, is chosen only if there is no other. */
    static final Duration SUSPECT_DURATION = Duration.ofMillis(1500);

    /** Consecutive failures after which a target is suspect. */
    static final int FAILURES_UNTIL_SUSPECT = 2;

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private TargetRecord target;
    private final TargetLoad load;
    private final Deque<Long> sends = new ArrayDeque<>();
    private int tokensToRead;
    private TargetLoadReport report = new TargetLoadReport(0, 0, 0, OptionalDouble.empty());
    private long reportNanos;
    private boolean reported;
    private int failures;
    private long suspectUntilNanos;
    private boolean suspect;
    private long coldUntilNanos;

    TargetTracker(TargetRecord target, TargetLoad load, long nowNanos) {
        this.target = target;
        this.load = load;
        this.coldUntilNanos = nowNanos;
        update(target, nowNanos);
    }

    TargetRecord target() {
        return target;
    }

    void update(TargetRecord newer, long nowNanos) {
        boolean newReport = newer != target;
        target = newer;
        if (newReport || newer.coldRemainingMillis() > 0) {
            coldUntilNanos =
                    nowNanos + Duration.ofMillis(newer.coldRemainingMillis()).toNanos();
        }
    }

    boolean cold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /** Returns whether the target has been warm for a time, such as that of a request that has just been answered. */
    boolean warmFor(Duration time, long nowNanos) {
        return !cold(nowNanos - time.toNanos());
    }

    /** Returns the number of requests that this gateway sent to the target within the last second. */
    int recentSends(long nowNanos) {
        while (!sends.isEmpty() && nowNanos - sends.peekFirst() > SECOND_NANOS) {
            sends.pollFirst();
        }
        return sends.size();
    }

    /**
     * Returns the load for a placement by load.
     *
     * @param shared whether gateways tell each other what they have at the targets of this pool
     */
    TargetLoadView view(boolean sameZone, boolean shared, long nowNanos) {
        boolean fresh = fresh(nowNanos);
        SharedTargetLoad known = load.shared();
        return new TargetLoadView(
                target,
                shared ? known.inFlight() : known.ownInFlight(),
                shared ? known.queuedTokens() : known.ownQueuedTokens(),
                fresh ? report.running() : 0,
                fresh ? report.waiting() : 0,
                sameZone,
                suspect(nowNanos),
                shared ? known.pace(nowNanos) : 1);
    }

    /** Returns the target as a candidate for placement by expected time. */
    TargetCandidate candidate(boolean sameZone, long nowNanos) {
        return new TargetCandidate(
                target,
                load.shared().inFlight(),
                load.shared().queuedTokens(),
                load.shared().slowdown(nowNanos),
                load.shared().failureRate(nowNanos),
                suspect(nowNanos),
                sameZone);
    }

    /** Returns the requests that run or wait at the target, as told by gateways or reported by it if that is more. */
    int knownLoad(long nowNanos) {
        int told = load.shared().inFlight();
        return fresh(nowNanos) ? Math.max(told, report.running() + report.waiting()) : told;
    }

    private boolean fresh(long nowNanos) {
        return reported && nowNanos - reportNanos < MAX_REPORT_AGE.toNanos();
    }

    /** Returns the load that this gateway and its peers observe. */
    TargetLoad load() {
        return load;
    }

    /** Sets the prompt tokens that the target has to read for the request that is sent next. */
    void planTokens(int tokens) {
        tokensToRead = tokens;
    }

    /** Returns the prompt tokens that the target has to read for the request that is sent next. */
    int tokensToRead() {
        return tokensToRead;
    }

    boolean suspect(long nowNanos) {
        return suspect && suspectUntilNanos - nowNanos > 0;
    }

    void sent(long tokens, long nowNanos) {
        sends.addLast(nowNanos);
        load.sent(tokens);
    }

    /** Records that a request has produced its first token or has ended without one. */
    void firstToken(long tokens) {
        load.firstToken(tokens);
    }

    void ended() {
        load.ended();
    }

    void reported(TargetLoadReport newer, long nowNanos) {
        report = newer;
        reportNanos = nowNanos;
        reported = true;
        newer.pace().ifPresent(pace -> load.paceReported(pace, nowNanos));
    }

    void succeeded(long nowNanos) {
        failures = 0;
        suspect = false;
        load.answered(nowNanos);
    }

    /**
     * Records a failure.
     *
     * @param certain whether this failure alone makes the target suspect
     * @return whether the target has become suspect by it
     */
    boolean failed(boolean certain, long nowNanos) {
        failures++;
        load.failed(nowNanos);
        if (certain || failures >= FAILURES_UNTIL_SUSPECT) {
            boolean wasSuspect = suspect(nowNanos);
            suspect = true;
            suspectUntilNanos = nowNanos + SUSPECT_DURATION.toNanos();
            return !wasSuspect;
        }
        return false;
    }
}
