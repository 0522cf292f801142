package io.masticfold.core.pipeline;

/** Represents a request in progress. */
public interface RunningRequest {

    /** Cancels the request because the caller is gone; idempotent work is cancelled at the targets. */
    void cancel();

    /**
     * Reports that the caller has consumed bytes of the streamed answer.
     *
     * @param bytes number of bytes since the last call
     */
    void consumed(int bytes);
}
