package io.masticfold.core.gate;

import io.masticfold.core.attempt.StageDispatch;
import java.time.Duration;

/** Client for the target that the agent serves. */
public interface TargetClient {

    /**
     * Starts a call.
     *
     * @param dispatch the attempt to run
     * @param budget maximum duration of the call
     * @param listener receives the chunks and exactly one completion or failure
     */
    TargetCall call(StageDispatch dispatch, Duration budget, TargetListener listener);
}
