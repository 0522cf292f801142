package io.masticfold.core.attempt;

import io.masticfold.core.error.Ran;

/** Outcome of an attempt. Each attempt has exactly one outcome. */
public sealed interface StageOutcome permits StageCompleted, StageRefused, StageFailed {

    /** Returns whether the attempt was executed, as far as is known. */
    Ran ran();
}
