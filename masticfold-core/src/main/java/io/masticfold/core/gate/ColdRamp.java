package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;
import java.time.Duration;

/**
 * Limits the calls to a target that may be in cold start: the limit starts at the cold bound, grows by one per success
 * at warm speed, and falls back to the cold bound on any sign that the target has turned cold.
 *
 * <p>A success counts only if its call started after the last turn to cold. Growth also waits for a load report that
 * was taken after the turn and says warm, because a target that is still warming up can be fast while it runs few calls
 * and fall over under more; if no report arrives for {@link #REPORT_PATIENCE}, service times alone decide.
 *
 * <p>Not safe for use by several threads; the gate calls it under its lock.
 */
final class ColdRamp {

    /** Time without a report after which growth no longer waits for one; several times the usual lag of reports. */
    static final Duration REPORT_PATIENCE = Duration.ofSeconds(2);

    /** Slow calls in a row that count as a turn to cold. */
    static final int SLOW_IN_A_ROW = 5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final WarmBaseline baseline = new WarmBaseline();
    private final BootHistory boots = new BootHistory();
    private int grown;
    private long epoch;
    private int slowInARow;
    private boolean reportedFit;
    private long turnedNanos;
    private long waitFromNanos;

    ColdRamp(long nowNanos) {
        turnedNanos = nowNanos;
        waitFromNanos = nowNanos;
    }

    int limit(GateBounds bounds) {
        return (int) Math.min(bounds.max(), (long) bounds.cold() + grown);
    }

    Temperature temperature(GateBounds bounds) {
        if (limit(bounds) >= bounds.max()) {
            return Temperature.WARM;
        }
        return grown > 0 ? Temperature.WARMING : Temperature.COLD;
    }

    /** Returns the number of turns to cold; a call carries the value from its start to its end. */
    long epoch() {
        return epoch;
    }

    /**
     * Takes a call that succeeded.
     *
     * @param started value of {@link #epoch()} when the call started
     * @param nanos service time, in nanoseconds
     * @return whether the limit fell back to the cold bound
     */
    boolean served(long started, long nanos, long nowNanos, GateBounds bounds) {
        if (started != epoch) {
            return false;
        }
        boolean slow = baseline.slow(nanos);
        baseline.learn(nanos);
        if (slow) {
            return slow(nowNanos);
        }
        slowInARow = 0;
        if (mayGrow(nowNanos) && limit(bounds) < bounds.max()) {
            grown++;
        }
        return false;
    }

    /** Takes a call that timed out; returns whether the limit fell. */
    boolean timedOut(long started, long nanos, long nowNanos) {
        return started == epoch && baseline.slow(nanos) && slow(nowNanos);
    }

    /** Turns the target cold; returns whether the limit fell. */
    boolean turnCold(long nowNanos) {
        boolean fell = grown > 0;
        epoch++;
        grown = 0;
        slowInARow = 0;
        reportedFit = false;
        turnedNanos = nowNanos;
        waitFromNanos = nowNanos;
        return fell;
    }

    /** Takes a load report; returns whether the limit fell. */
    boolean report(TargetReport report, long nowNanos) {
        long takenNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
        BootHistory.Verdict verdict = boots.take(report.bootId(), takenNanos);
        if (verdict == BootHistory.Verdict.OUTDATED) {
            return false;
        }
        boolean cold = !report.temperature().warm();
        boolean afterLastTurn = takenNanos - turnedNanos >= 0;
        boolean fell = (cold || verdict.restarted()) && turnCold(nowNanos);
        waitFromNanos = nowNanos;
        reportedFit = !cold && (reportedFit || (verdict.current() && afterLastTurn));
        return fell;
    }

    private boolean slow(long nowNanos) {
        slowInARow++;
        if (slowInARow < SLOW_IN_A_ROW) {
            return false;
        }
        return turnCold(nowNanos);
    }

    private boolean mayGrow(long nowNanos) {
        return reportedFit || nowNanos - waitFromNanos > REPORT_PATIENCE.toNanos();
    }
}
