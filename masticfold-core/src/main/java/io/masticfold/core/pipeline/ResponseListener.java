package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;

/** Receives the answer to a request, on the event loop that submitted it. */
public interface ResponseListener {

    /**
     * Takes the next part of a streamed answer; parts come in order and without gaps.
     *
     * @param offset offset of the part within the answer, in bytes
     * @param bytes the part
     */
    void chunk(long offset, Payload bytes);

    /** Takes the whole answer; called once, as the last call, unless {@link #failed} is. */
    void completed(PipelineResult result);

    /** Takes the final error; called once, as the last call, unless {@link #completed} is. */
    void failed(RequestFailure failure);
}
