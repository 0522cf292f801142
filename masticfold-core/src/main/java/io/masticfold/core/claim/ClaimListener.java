package io.masticfold.core.claim;

import io.masticfold.core.attempt.AttemptId;

/** Follows the settlement of a claim, on the event loop of the request. */
public interface ClaimListener {

    /**
     * Reports that the claim names an attempt of another run of the request, which may have run.
     *
     * @param attempt the attempt the claim names
     */
    void found(AttemptId attempt);

    /**
     * Reports that the agent recorded the refusal of an attempt, which therefore never runs.
     *
     * @param attempt the attempt
     */
    void notRun(AttemptId attempt);

    /** Takes the decision; called once, as the last call. */
    void decided(ClaimDecision decision);
}
