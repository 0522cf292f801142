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
final class GateLimits {

    /** Failures after which the target is considered cold: it is unreachable, may have restarted or says it is cold. */
    private static final Set<ErrorKind> COLD_SIGNS =
            EnumSet.of(ErrorKind.TARGET_UNREACHABLE, ErrorKind.LINK_LOST, ErrorKind.TARGET_COLD);

    private static final Set<ErrorKind> OVERLOAD_SIGNS =
            EnumSet.of(ErrorKind.STAGE_TIMEOUT, ErrorKind.OVERLOADED, ErrorKind.QUEUE_FULL);

    private static final double MEAN_WEIGHT = 0.1;

    /** Consecutive failures after which the target is considered cold: an overwhelmed target fails every call. */
    private static final int FAILURES_IN_A_ROW = 3;

    private final ColdRamp ramp;
    private final AdaptiveLimit adaptive = new AdaptiveLimit();
    private double meanNanos;
    private int failuresInARow;

    GateLimits(long nowNanos) {
        ramp = new ColdRamp(nowNanos);
    }

    int limit(GateBounds bounds) {
        return Math.min(ramp.limit(bounds), adaptive.limit(bounds));
    }

    Temperature temperature(GateBounds bounds) {
        return ramp.temperature(bounds);
    }

    long epoch() {
        return ramp.epoch();
    }

    /** Returns the recent mean service time in nanoseconds, or 0 if no call has succeeded yet. */
    long meanNanos() {
        return (long) meanNanos;
    }

    /** Updates the limits after a successful call; returns whether the slow-start limit was reset to a lower value. */
    boolean served(CallTimes call, int inFlight, GateBounds bounds) {
        failuresInARow = 0;
        long nanos = call.elapsedNanos();
        meanNanos += (meanNanos == 0 ? 1 : MEAN_WEIGHT) * (nanos - meanNanos);
        if (call.epoch() == ramp.epoch()) {
            adaptive.served(nanos, inFlight, bounds);
        }
        return ramp.served(call.epoch(), nanos, call.endNanos(), bounds);
    }

    /** Updates the limits after a failed call; returns whether the slow-start limit was reset to a lower value. */
    boolean failed(CallTimes call, ErrorKind kind, GateBounds bounds) {
        if (COLD_SIGNS.contains(kind) || (kind == ErrorKind.TARGET_FAILED && repeated())) {
            return ramp.turnCold(call.endNanos());
        }
        if (OVERLOAD_SIGNS.contains(kind)) {
            adaptive.overloaded(bounds);
        }
        return kind == ErrorKind.STAGE_TIMEOUT && ramp.timedOut(call.epoch(), call.elapsedNanos(), call.endNanos());
    }

    private boolean repeated() {
        failuresInARow++;
        return failuresInARow % FAILURES_IN_A_ROW == 0;
    }

    /** Processes a load report; returns whether the slow-start limit was reset to a lower value. */
    boolean report(TargetReport report, long nowNanos) {
        return ramp.report(report, nowNanos);
    }
}
