package io.masticfold.core.link;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;

/** Receives what comes back for one attempt. Calls for one attempt never overlap. */
public interface StageListener {

    /**
     * Takes a part of a streaming result. Parts may arrive late or reordered; the offset tells the place.
     *
     * @param offset offset of the first byte within the result, in bytes
     * @param bytes the part
     */
    void chunk(long offset, Payload bytes);

    /**
     * Takes the outcome. Called exactly once, as the last call.
     *
     * @param outcome the outcome
     * @param load load of the target after the attempt
     */
    void outcome(StageOutcome outcome, TargetLoad load);
}
