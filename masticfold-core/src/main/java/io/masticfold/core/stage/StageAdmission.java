package io.masticfold.core.stage;

import java.time.Duration;

/**
 * Decides whether the stages of a request start now, wait or are refused. In an overloaded pool, a request that starts
 * early occupies result storage that other requests need, and its results expire and have to be computed again. A
 * request therefore starts if it is expected to meet its latency objective or if the backlog of the pools is short;
 * otherwise it waits before its first stage, where it holds no resources. A request that cannot be served before its
 * deadline is refused immediately.
 */
public final class StageAdmission {

    /** Largest backlog of a pool at which a late request still starts: one call beyond the one in progress. */
    static final Duration MAX_LATE_START_BACKLOG = Duration.ofMillis(350);

    /** Largest fraction of its spare time before the deadline that a new request may wait for its first stage. */
    static final double MAX_WAIT_FRACTION = 0.5;

    /**
     * Ratio of the typical to the estimated duration of the stages. Estimates cover neither partially filled calls nor
     * more urgent requests that arrive later; under heavy load, half of the requests took 1.05 to 1.4 times as long.
     */
    static final double TYPICAL_DURATION_FACTOR = 1.25;

    /**
     * Largest part of the lifetime of stored results that a piece which reads them is expected to wait. More urgent
     * requests that arrive in the meantime make it wait longer, and an expired result has to be computed again.
     */
    static final double MAX_LIFETIME_FRACTION = 0.5;

    private StageAdmission() {}

    private static Duration typical(Duration expected) {
        return Duration.ofMillis((long) (expected.toMillis() * TYPICAL_DURATION_FACTOR));
    }

    /**
     * Decides whether a request starts, waits or is refused.
     *
     * @param path estimates for the critical path of its stages
     * @param timeToObjective time until its latency objective, negative if it is already missed
     * @param timeToDeadline time until the request is abandoned
     */
    public static Verdict decide(CriticalPathEstimate path, Duration timeToObjective, Duration timeToDeadline) {
        if (timeToDeadline.compareTo(path.unloaded()) < 0) {
            return Verdict.REFUSE;
        }
        if (path.longestInputWait().toMillis() > path.inputLifetime().toMillis() * MAX_LIFETIME_FRACTION) {
            return Verdict.WAIT;
        }
        if (typical(path.expected()).compareTo(timeToObjective) <= 0
                || path.longestBacklog().compareTo(MAX_LATE_START_BACKLOG) <= 0) {
            return Verdict.START;
        }
        return Verdict.WAIT;
    }

    /**
     * Returns whether a new request should be refused because the wait behind the others would take too long.
     *
     * @param longestWait longest time that a request ahead of it has already waited
     * @param path estimates for the critical path of its stages
     * @param timeToDeadline time until the request is abandoned
     */
    public static boolean exceedsMaxWait(Duration longestWait, CriticalPathEstimate path, Duration timeToDeadline) {
        double maxWaitMillis = timeToDeadline.minus(path.unloaded()).toMillis() * MAX_WAIT_FRACTION;
        return longestWait.toMillis() > maxWaitMillis;
    }

    /**
     * Returns the time after which the caller of a refused request may retry. A new request would wait about as long as
     * the longest waiting one ahead of it, so that an earlier retry would be refused again. The time is limited to half
     * of the spare time before the deadline, so that a retry can still be served.
     *
     * @param longestWait longest time that a request ahead of it has already waited
     * @param path estimates for the critical path of its stages
     * @param timeToDeadline time until the request is abandoned
     */
    public static Duration retryAfter(Duration longestWait, CriticalPathEstimate path, Duration timeToDeadline) {
        Duration drainTime = longestWait.plus(path.longestBacklog());
        Duration latest = timeToDeadline.minus(path.unloaded()).dividedBy(2);
        Duration retryAfter = drainTime.compareTo(latest) < 0 ? drainTime : latest;
        return retryAfter.isNegative() ? Duration.ZERO : retryAfter;
    }

    /** Outcome of the admission of a request. */
    public enum Verdict {
        /** The first stages start. */
        START,
        /** The request waits before its first stage. */
        WAIT,
        /** The request is refused. */
        REFUSE
    }
}
