package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;
import java.time.Duration;

/**
 * Slow-start limit for a target that may be cold. The limit starts at the cold-start limit, grows by one with each
 * successful call at normal speed, and is reset to the cold-start limit whenever the target appears to be cold again.
 *
 * <p>A success counts only if its call started after the last reset. In addition, the limit does not grow until a load
 * report measured after the reset states that the target is warm: a target that is still warming up can be fast with
 * few calls and fail under more. If no report arrives for {@link #REPORT_PATIENCE}, the limit grows on service times
 * alone.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class ColdRamp {

    /** Time without a report after which the limit grows without one; several times the usual delay of reports. */
    static final Duration REPORT_PATIENCE = Duration.ofSeconds(2);

    /** Number of consecutive slow calls after which the target is considered cold. */
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

    /** Returns the number of resets so far; a call keeps the value of its start to be matched when it ends. */
    long epoch() {
        return epoch;
    }

    /**
     * Updates the limit after a successful call.
     *
     * @param started value of {@link #epoch()} when the call started
     * @param nanos service time, in nanoseconds
     * @return whether the limit decreased to the cold-start limit
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

    /** Updates the limit after a call that timed out; returns whether the limit decreased. */
    boolean timedOut(long started, long nanos, long nowNanos) {
        return started == epoch && baseline.slow(nanos) && slow(nowNanos);
    }

    /** Resets the limit to the cold-start limit; returns whether it decreased. */
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

    /** Processes a load report; returns whether the limit decreased. */
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
