package io.masticfold.core.gate;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/** Receives what a target answers to one call. */
public interface TargetListener {

    /** Takes the next part of a streaming result; parts come in order. */
    void chunk(Payload bytes);

    /** Takes the whole result; the last call. */
    void completed(Payload result);

    /**
     * Takes a failure; the last call.
     *
     * @param kind reason of the failure
     * @param ran {@code NO} only if no byte of the call left the agent, or the target itself answered that it did not
     *     run the call
     */
    void failed(ErrorKind kind, Ran ran);
}
