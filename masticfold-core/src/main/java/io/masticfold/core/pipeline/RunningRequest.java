package io.masticfold.core.pipeline;

/** Represents a request in progress. */
public interface RunningRequest {

    /** Cancels the request because the caller has disconnected; idempotent attempts are cancelled at their targets. */
    void cancel();

    /**
     * Reports that the caller has consumed bytes of the streamed result.
     *
     * @param bytes number of bytes since the last call
     */
    void consumed(int bytes);
}
