package io.masticfold.core.attempt;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/**
 * Ends an attempt that ran and failed, or of which nobody can tell whether it ran.
 *
 * @param kind reason of the failure
 * @param ran {@link Ran#YES} or {@link Ran#UNKNOWN}
 */
public record StageFailed(ErrorKind kind, Ran ran) implements StageOutcome {

    /** Refuses the statement "not run", which only {@link StageRefused} may make. */
    public StageFailed {
        if (ran == Ran.NO) {
            throw new IllegalArgumentException("a failure cannot state 'not run': " + kind);
        }
    }
}
