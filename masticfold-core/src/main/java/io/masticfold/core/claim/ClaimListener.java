package io.masticfold.core.claim;

import io.masticfold.core.attempt.AttemptId;

/** Receives the progress and the outcome of acquiring a claim, on the event loop of the request. */
public interface ClaimListener {

    /**
     * Called when the claim is found to name an attempt of another run of the request, which may have been executed.
     *
     * @param attempt the attempt the claim names
     */
    void attemptFound(AttemptId attempt);

    /**
     * Called when the agent has sealed an attempt that it had not run, which therefore never runs.
     *
     * @param attempt the attempt
     */
    void attemptNotRun(AttemptId attempt);

    /** Receives the outcome; called once, as the last call. */
    void decided(ClaimDecision decision);
}
