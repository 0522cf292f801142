package io.masticfold.core.gate;

import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.EnumSet;
import java.util.Set;

/** Estimates how long to wait before retrying at a target that refused an attempt. */
final class RetryAfterSupport {

    /** Refusals caused by load. The others last until an operator makes a change, so their end cannot be estimated. */
    private static final Set<ErrorKind> LOAD_REFUSALS = EnumSet.of(
            ErrorKind.QUEUE_FULL,
            ErrorKind.TARGET_COLD,
            ErrorKind.OVERLOADED,
            ErrorKind.BUDGET_TOO_SHORT,
            ErrorKind.DEADLINE_EXPIRED,
            ErrorKind.TARGET_UNREACHABLE);

    private RetryAfterSupport() {}

    /**
     * Estimates the time until a new attempt could start: the queued attempts ahead of it, run at the current
     * concurrency limit with the recent mean service time.
     *
     * @param max upper bound of the estimate
     * @return the estimated delay, or zero if unknown
     */
    static Duration estimate(ErrorKind reason, TargetLoad load, Duration max) {
        if (!LOAD_REFUSALS.contains(reason)) {
            return Duration.ZERO;
        }
        double rounds = (load.queued() + 1.0) / Math.max(1, load.limit());
        Duration wait = Duration.of((long) (rounds * load.serviceMicros()), ChronoUnit.MICROS);
        return wait.compareTo(max) > 0 ? max : wait;
    }
}
