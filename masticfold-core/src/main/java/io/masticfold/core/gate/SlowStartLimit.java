package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;
import java.time.Duration;

/**
 * Slow-start limit for a target that may be cold. The limit starts at the cold-start limit, grows by one with each
 * successful call at normal speed, and is reset to the cold-start limit whenever the target appears to be cold again.
 *
 * <p>A success counts only if its call started after the last reset. In addition, the limit does not grow until a load
 * report measured after the reset states that the target is warm: a target that is still warming up can be fast with
 * few calls and fail under more. If no report arrives for {@link #REPORT_TIMEOUT}, the limit grows on service times
 * alone.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class SlowStartLimit {

    /** Time without a report after which the limit grows without one; several times the usual delay of reports. */
    static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    /** Number of consecutive slow calls after which the target is considered cold. */
    static final int SLOW_CALL_THRESHOLD = 5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ServiceTimeBaseline baseline = new ServiceTimeBaseline();
    private final BootHistory bootHistory = new BootHistory();
    private int growth;
    private long epoch;
    private int consecutiveSlowCalls;
    private boolean reportedWarm;
    private long resetNanos;
    private long reportWaitStartNanos;

    SlowStartLimit(long nowNanos) {
        resetNanos = nowNanos;
        reportWaitStartNanos = nowNanos;
    }

    int limit(TargetBounds bounds) {
        return (int) Math.min(bounds.maxConcurrency(), (long) bounds.coldConcurrency() + growth);
    }

    Temperature temperature(TargetBounds bounds) {
        if (limit(bounds) >= bounds.maxConcurrency()) {
            return Temperature.WARM;
        }
        return growth > 0 ? Temperature.WARMING : Temperature.COLD;
    }

    /** Returns the number of resets so far, which tells calls that started before a reset from those after it. */
    long epoch() {
        return epoch;
    }

    /**
     * Updates the limit after a successful call.
     *
     * @param callEpoch value of {@link #epoch()} when the call started
     * @param serviceNanos service time, in nanoseconds
     * @return whether the limit decreased to the cold-start limit
     */
    boolean onSuccess(long callEpoch, long serviceNanos, long nowNanos, TargetBounds bounds) {
        if (callEpoch != epoch) {
            return false;
        }
        boolean slow = baseline.isSlow(serviceNanos);
        baseline.update(serviceNanos);
        if (slow) {
            return onSlowCall(nowNanos);
        }
        consecutiveSlowCalls = 0;
        if (mayGrow(nowNanos) && limit(bounds) < bounds.maxConcurrency()) {
            growth++;
        }
        return false;
    }

    /** Updates the limit after a call that timed out; returns whether the limit decreased. */
    boolean onTimeout(long callEpoch, long serviceNanos, long nowNanos) {
        return callEpoch == epoch && baseline.isSlow(serviceNanos) && onSlowCall(nowNanos);
    }

    /** Resets the limit to the cold-start limit; returns whether it decreased. */
    boolean reset(long nowNanos) {
        boolean decreased = growth > 0;
        epoch++;
        growth = 0;
        consecutiveSlowCalls = 0;
        reportedWarm = false;
        resetNanos = nowNanos;
        reportWaitStartNanos = nowNanos;
        return decreased;
    }

    /** Processes a load report; returns whether the limit decreased. */
    boolean onReport(TargetReport report, long nowNanos) {
        long measuredNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
        BootHistory.ReportOrder order = bootHistory.observe(report.bootId(), measuredNanos);
        if (order == BootHistory.ReportOrder.OUTDATED) {
            return false;
        }
        boolean cold = !report.temperature().warm();
        boolean afterReset = measuredNanos - resetNanos >= 0;
        boolean decreased = (cold || order.mayHaveRestarted()) && reset(nowNanos);
        reportWaitStartNanos = nowNanos;
        reportedWarm = !cold && (reportedWarm || (order.isLatest() && afterReset));
        return decreased;
    }

    private boolean onSlowCall(long nowNanos) {
        consecutiveSlowCalls++;
        if (consecutiveSlowCalls < SLOW_CALL_THRESHOLD) {
            return false;
        }
        return reset(nowNanos);
    }

    private boolean mayGrow(long nowNanos) {
        return reportedWarm || nowNanos - reportWaitStartNanos > REPORT_TIMEOUT.toNanos();
    }
}
