package io.masticfold.core.gate;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/** Receives the response of a target to one call. */
public interface TargetListener {

    /** Receives the next chunk of a streaming result; chunks arrive in order. */
    void chunk(Payload bytes);

    /** Receives the complete result and ends the call. */
    void completed(Payload result);

    /**
     * Receives a failure and ends the call.
     *
     * @param kind reason of the failure
     * @param ran {@link Ran#NO} only if no byte of the call left the agent, or if the target itself answered that it
     *     did not run the call
     */
    void failed(ErrorKind kind, Ran ran);
}
