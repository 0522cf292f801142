package io.masticfold.core.gate;

import io.masticfold.core.attempt.StageDispatch;
import java.time.Duration;

/** Calls the target beside the agent. */
public interface TargetClient {

    /**
     * Starts a call.
     *
     * @param dispatch the attempt
     * @param budget time the call may take
     * @param listener receives chunks and exactly one end
     */
    TargetCall call(StageDispatch dispatch, Duration budget, TargetListener listener);
}
