package io.masticfold.core.link;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;

/** Receives the chunks and the outcome of one attempt. Calls for one attempt never overlap. */
public interface StageListener {

    /**
     * Receives a chunk of a streaming result. Chunks may arrive late or reordered; the offset gives their position.
     *
     * @param offset offset of the first byte within the result, in bytes
     * @param bytes the chunk
     */
    void chunk(long offset, Payload bytes);

    /**
     * Receives the outcome; called exactly once, as the last call.
     *
     * @param outcome the outcome
     * @param load load of the target after the attempt
     */
    void outcome(StageOutcome outcome, TargetLoad load);
}
