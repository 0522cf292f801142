package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import java.util.EnumSet;
import java.util.Set;

/**
 * Concurrency limit in effect at a target: the smaller of the slow-start limit and the adaptive limit.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class ConcurrencyLimit {

    /** Failures after which the target is considered cold: it is unreachable, may have restarted or says it is cold. */
    private static final Set<ErrorKind> COLD_FAILURES =
            EnumSet.of(ErrorKind.TARGET_UNREACHABLE, ErrorKind.LINK_LOST, ErrorKind.TARGET_COLD);

    private static final Set<ErrorKind> OVERLOAD_FAILURES =
            EnumSet.of(ErrorKind.STAGE_TIMEOUT, ErrorKind.OVERLOADED, ErrorKind.QUEUE_FULL);

    private static final double MEAN_WEIGHT = 0.1;

    /**
     * Number of {@link ErrorKind#TARGET_FAILED} failures since the last success after which the target is considered
     * cold: an overwhelmed target fails every call. Other failures neither count nor reset the count.
     */
    private static final int FAILURE_THRESHOLD = 3;

    private final SlowStartLimit slowStart;
    private final AdaptiveLimit adaptive = new AdaptiveLimit();
    private double meanServiceNanos;
    private int failuresSinceSuccess;

    ConcurrencyLimit(long nowNanos) {
        slowStart = new SlowStartLimit(nowNanos);
    }

    int limit(TargetBounds bounds) {
        return Math.min(slowStart.limit(bounds), adaptive.limit(bounds));
    }

    Temperature temperature(TargetBounds bounds) {
        return slowStart.temperature(bounds);
    }

    long epoch() {
        return slowStart.epoch();
    }

    /** Returns the recent mean service time in nanoseconds, or 0 if no call has succeeded yet. */
    long meanServiceNanos() {
        return (long) meanServiceNanos;
    }

    /** Updates the limits after a successful call; returns whether the slow-start limit was reset to a lower value. */
    boolean onSuccess(CallTimes call, int inFlight, TargetBounds bounds) {
        failuresSinceSuccess = 0;
        long serviceNanos = call.elapsedNanos();
        meanServiceNanos += (meanServiceNanos == 0 ? 1 : MEAN_WEIGHT) * (serviceNanos - meanServiceNanos);
        if (call.epoch() == slowStart.epoch()) {
            adaptive.onSuccess(serviceNanos, inFlight, bounds);
        }
        return slowStart.onSuccess(call.epoch(), serviceNanos, call.endNanos(), bounds);
    }

    /** Updates the limits after a failed call; returns whether the slow-start limit was reset to a lower value. */
    boolean onFailure(CallTimes call, ErrorKind kind, TargetBounds bounds) {
        if (COLD_FAILURES.contains(kind) || (kind == ErrorKind.TARGET_FAILED && failureThresholdReached())) {
            return slowStart.reset(call.endNanos());
        }
        if (OVERLOAD_FAILURES.contains(kind)) {
            adaptive.onOverload(bounds);
        }
        return kind == ErrorKind.STAGE_TIMEOUT
                && slowStart.onTimeout(call.epoch(), call.elapsedNanos(), call.endNanos());
    }

    private boolean failureThresholdReached() {
        failuresSinceSuccess++;
        return failuresSinceSuccess % FAILURE_THRESHOLD == 0;
    }

    /** Processes a load report; returns whether the slow-start limit was reset to a lower value. */
    boolean onReport(TargetReport report, long nowNanos) {
        return slowStart.onReport(report, nowNanos);
    }
}
