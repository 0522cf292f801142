package io.masticfold.core.attempt;

import io.masticfold.core.error.Ran;

/**
 * Ends an attempt with its whole result.
 *
 * @param result the result from the resume offset of the attempt on, the whole result for an attempt that resumes
 *     nothing; for a streaming attempt the concatenation of its chunks
 * @param serviceMicros time the target took, in microseconds
 */
public record StageCompleted(Payload result, long serviceMicros) implements StageOutcome {

    @Override
    public Ran ran() {
        return Ran.YES;
    }
}
