package io.masticfold.core.stage;

import java.time.Duration;

/**
 * Decides whether the stages of a request start now. Once a pool is overloaded, a request that starts early only keeps
 * results at the servers that other requests need, loses them when their time ends, and has them made again. A request
 * therefore starts if it is expected to be on time, or if the pools have little to do; otherwise it waits before its
 * first stage, where it costs nothing. A request that cannot be served before its deadline is refused at once.
 */
public final class StageAdmission {

    /** Backlog up to which late requests are added to a pool: one call beyond the one in progress. */
    static final Duration LATE_BACKLOG = Duration.ofMillis(350);

    /** Part of its whole time that a new request may be expected to wait before its first stage. */
    static final double WAITING_PART = 0.5;

    /**
     * Factor from the expected to the usual time of the stages. Expectations know of no partial calls and of nothing
     * that begins later and is more urgent; half of the requests of busy days took 1.05 to 1.4 times as long.
     */
    static final double USUAL_FACTOR = 1.25;

    private StageAdmission() {}

    private static Duration usual(Duration expected) {
        return Duration.ofMillis((long) (expected.toMillis() * USUAL_FACTOR));
    }

    /**
     * Decides about a request.
     *
     * @param path what is known of the pools that its stages need
     * @param toAim time left until its results are due, negative if it is late
     * @param toDeadline time left until it is given up
     */
    public static Verdict decide(StagePath path, Duration toAim, Duration toDeadline) {
        if (toDeadline.compareTo(path.unloaded()) < 0) {
            return Verdict.REFUSE;
        }
        if (usual(path.expected()).compareTo(toAim) <= 0
                || path.longestBacklog().compareTo(LATE_BACKLOG) <= 0) {
            return Verdict.START;
        }
        return Verdict.WAIT;
    }

    /**
     * Returns whether a new request is better refused than made to wait behind the others.
     *
     * @param longestWait time that the request has waited that has waited longest among those before it
     * @param path what is known of the pools that its stages need
     * @param toDeadline time left until it is given up
     */
    public static boolean hopeless(Duration longestWait, StagePath path, Duration toDeadline) {
        double most = toDeadline.minus(path.unloaded()).toMillis() * WAITING_PART;
        return longestWait.toMillis() > most;
    }

    /**
     * Returns the time after which the caller of a refused request may come back. A new request would wait about as
     * long as the one before it that has waited longest; a caller that comes back earlier is refused again. It still
     * has to be in time for being served.
     *
     * @param longestWait time that the request has waited that has waited longest among those before it
     * @param path what is known of the pools that its stages need
     * @param toDeadline time left until it is given up
     */
    public static Duration comeBack(Duration longestWait, StagePath path, Duration toDeadline) {
        Duration drained = longestWait.plus(path.longestBacklog());
        Duration latest = toDeadline.minus(path.unloaded()).dividedBy(2);
        Duration after = drained.compareTo(latest) < 0 ? drained : latest;
        return after.isNegative() ? Duration.ZERO : after;
    }

    /** States what is done with a request. */
    public enum Verdict {
        /** The first stages start. */
        START,
        /** The request waits before its first stage. */
        WAIT,
        /** The request is refused. */
        REFUSE
    }
}
