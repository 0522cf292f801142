package io.masticfold.core.attempt;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.time.Duration;

/**
 * Outcome of an attempt that did not run. The agent has recorded the refusal and also refuses delayed duplicates of the
 * attempt.
 *
 * @param kind reason of the refusal
 * @param retryAfter estimated time until the target can accept work again, or zero if unknown
 */
public record StageRefused(ErrorKind kind, Duration retryAfter) implements StageOutcome {

    @Override
    public Ran ran() {
        return Ran.NO;
    }
}
