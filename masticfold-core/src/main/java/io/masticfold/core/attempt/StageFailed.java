package io.masticfold.core.attempt;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/**
 * Outcome of an attempt that ran and failed, or for which it is unknown whether it ran.
 *
 * @param kind reason of the failure
 * @param ran {@link Ran#YES} or {@link Ran#UNKNOWN}
 */
public record StageFailed(ErrorKind kind, Ran ran) implements StageOutcome {

    /** Rejects {@link Ran#NO}, which only {@link StageRefused} may state. */
    public StageFailed {
        if (ran == Ran.NO) {
            throw new IllegalArgumentException("a failed attempt must not be stated as not run: " + kind);
        }
    }
}
