package io.masticfold.core.attempt;

import io.masticfold.core.error.Ran;

/** Ends an attempt: exactly one outcome per attempt. */
public sealed interface StageOutcome permits StageCompleted, StageRefused, StageFailed {

    /** Returns what is known about the execution of the attempt. */
    Ran ran();
}
