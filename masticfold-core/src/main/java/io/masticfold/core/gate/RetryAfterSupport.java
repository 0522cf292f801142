package io.masticfold.core.gate;

import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.EnumSet;
import java.util.Set;

/** Estimates when a target that refused an attempt may take work again. */
final class RetryAfterSupport {

    /** Refusals that end when the queue has moved on; the others end with an operator's change, so no time is known. */
    private static final Set<ErrorKind> LOAD_REASONS = EnumSet.of(
            ErrorKind.QUEUE_FULL,
            ErrorKind.TARGET_COLD,
            ErrorKind.OVERLOADED,
            ErrorKind.BUDGET_TOO_SHORT,
            ErrorKind.DEADLINE_EXPIRED,
            ErrorKind.TARGET_UNREACHABLE);

    private RetryAfterSupport() {}

    /**
     * Estimates the time until a new attempt would start: the work ahead of it, served at the recent mean service time
     * with the calls the limit allows.
     *
     * @return the time, zero if unknown
     */
    static Duration estimate(ErrorKind reason, TargetLoad load, Duration most) {
        if (!LOAD_REASONS.contains(reason)) {
            return Duration.ZERO;
        }
        double rounds = (load.queued() + 1.0) / Math.max(1, load.limit());
        Duration wait = Duration.of((long) (rounds * load.serviceMicros()), ChronoUnit.MICROS);
        return wait.compareTo(most) > 0 ? most : wait;
    }
}
