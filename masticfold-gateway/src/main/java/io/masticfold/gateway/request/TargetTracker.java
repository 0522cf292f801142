package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.placement.TargetLoadView;
import io.masticfold.gateway.protocol.TargetLoadReport;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

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
    private final Deque<Long> sends = new ArrayDeque<>();
    private int inFlight;
    private long queuedTokens;
    private TargetLoadReport report = new TargetLoadReport(0, 0, 0);
    private long reportNanos;
    private boolean reported;
    private int failures;
    private long suspectUntilNanos;
    private boolean suspect;
    private long coldUntilNanos;

    TargetTracker(TargetRecord target, long nowNanos) {
        this.target = target;
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

    /** Returns the number of requests that this gateway sent to the target within the last second. */
    int recentSends(long nowNanos) {
        while (!sends.isEmpty() && nowNanos - sends.peekFirst() > SECOND_NANOS) {
            sends.pollFirst();
        }
        return sends.size();
    }

    TargetLoadView view(boolean sameZone, long nowNanos) {
        boolean fresh = reported && nowNanos - reportNanos < MAX_REPORT_AGE.toNanos();
        return new TargetLoadView(
                target,
                inFlight,
                queuedTokens,
                fresh ? report.running() : 0,
                fresh ? report.waiting() : 0,
                sameZone,
                suspect(nowNanos));
    }

    boolean suspect(long nowNanos) {
        return suspect && suspectUntilNanos - nowNanos > 0;
    }

    void sent(long tokens, long nowNanos) {
        sends.addLast(nowNanos);
        inFlight++;
        queuedTokens += tokens;
    }

    /** Records that a request has produced its first token or has ended without one. */
    void firstToken(long tokens) {
        queuedTokens -= tokens;
    }

    void ended() {
        inFlight--;
    }

    void reported(TargetLoadReport newer, long nowNanos) {
        report = newer;
        reportNanos = nowNanos;
        reported = true;
    }

    void succeeded() {
        failures = 0;
        suspect = false;
    }

    /**
     * Records a failure.
     *
     * @param certain whether this failure alone makes the target suspect
     * @return whether the target has become suspect by it
     */
    boolean failed(boolean certain, long nowNanos) {
        failures++;
        if (certain || failures >= FAILURES_UNTIL_SUSPECT) {
            boolean wasSuspect = suspect(nowNanos);
            suspect = true;
            suspectUntilNanos = nowNanos + SUSPECT_DURATION.toNanos();
            return !wasSuspect;
        }
        return false;
    }
}
