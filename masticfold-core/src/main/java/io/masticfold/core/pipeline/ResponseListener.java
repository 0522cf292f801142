package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;

/** Receives the response to a request, on the event loop that submitted the request. */
public interface ResponseListener {

    /**
     * Receives the next chunk of a streamed result; chunks arrive in order and without gaps.
     *
     * @param offset offset of the chunk within the result, in bytes
     * @param bytes the chunk
     */
    void chunk(long offset, Payload bytes);

    /** Receives the complete response. Either this method or {@link #failed} is called, once and last. */
    void completed(PipelineResult result);

    /** Receives the final error. Either this method or {@link #completed} is called, once and last. */
    void failed(RequestFailure failure);
}
