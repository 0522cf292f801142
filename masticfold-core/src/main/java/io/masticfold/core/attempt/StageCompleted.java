package io.masticfold.core.attempt;

import io.masticfold.core.error.Ran;

/**
 * Outcome of an attempt that completed.
 *
 * @param result the result from the resume offset of the attempt onwards, which is the complete result if the attempt
 *     does not resume an earlier one; for a streaming attempt, the concatenation of its chunks
 * @param serviceMicros service time at the target, in microseconds
 */
public record StageCompleted(Payload result, long serviceMicros) implements StageOutcome {

    @Override
    public Ran ran() {
        return Ran.YES;
    }
}
