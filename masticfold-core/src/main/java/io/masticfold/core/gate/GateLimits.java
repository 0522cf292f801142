package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import java.util.EnumSet;
import java.util.Set;

/**
 * Combines the cold ramp and the adaptive limit into the limit in force, the smaller of the two.
 *
 * <p>Not safe for use by several threads; the gate calls it under its lock.
 */
final class GateLimits {

    /** Failures that show that the target is gone, has restarted or calls itself cold. */
    private static final Set<ErrorKind> COLD_SIGNS =
            EnumSet.of(ErrorKind.TARGET_UNREACHABLE, ErrorKind.LINK_LOST, ErrorKind.TARGET_COLD);

    private static final Set<ErrorKind> OVERLOAD_SIGNS =
            EnumSet.of(ErrorKind.STAGE_TIMEOUT, ErrorKind.OVERLOADED, ErrorKind.QUEUE_FULL);

    private static final double MEAN_WEIGHT = 0.1;

    /** Failures in a row that count as a turn to cold: a target that falls over under load fails every call. */
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

    /** Returns the recent mean service time in nanoseconds, 0 if none is known. */
    long meanNanos() {
        return (long) meanNanos;
    }

    /** Takes the end of a call that succeeded; returns whether the limit fell back to the cold bound. */
    boolean served(CallTimes call, int inFlight, GateBounds bounds) {
        failuresInARow = 0;
        long nanos = call.elapsedNanos();
        meanNanos += (meanNanos == 0 ? 1 : MEAN_WEIGHT) * (nanos - meanNanos);
        if (call.epoch() == ramp.epoch()) {
            adaptive.served(nanos, inFlight, bounds);
        }
        return ramp.served(call.epoch(), nanos, call.endNanos(), bounds);
    }

    /** Takes the end of a call that failed; returns whether the limit fell back to the cold bound. */
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

    /** Takes a load report; returns whether the limit fell back to the cold bound. */
    boolean report(TargetReport report, long nowNanos) {
        return ramp.report(report, nowNanos);
    }
}
