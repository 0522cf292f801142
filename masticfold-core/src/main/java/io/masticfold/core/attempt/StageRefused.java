package io.masticfold.core.attempt;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.time.Duration;

/**
 * Ends an attempt that was not run. The agent has recorded the refusal and refuses late copies of the attempt too.
 *
 * @param kind reason of the refusal
 * @param retryAfter time after which the target may take work again, zero if unknown
 */
public record StageRefused(ErrorKind kind, Duration retryAfter) implements StageOutcome {

    @Override
    public Ran ran() {
        return Ran.NO;
    }
}
