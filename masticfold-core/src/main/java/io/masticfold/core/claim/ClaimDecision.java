package io.masticfold.core.claim;

import io.masticfold.core.attempt.Payload;
import java.time.Duration;

/** Represents the outcome of acquiring a claim for a new attempt. */
public sealed interface ClaimDecision
        permits ClaimDecision.Acquired,
                ClaimDecision.Replayed,
                ClaimDecision.EndedWithoutResult,
                ClaimDecision.Running,
                ClaimDecision.OutcomeUnknown,
                ClaimDecision.KeyReused,
                ClaimDecision.NotAcquired {

    /**
     * The claim was acquired: the store names the new attempt, which may be dispatched.
     *
     * @param claim the claim as stored
     */
    record Acquired(VersionedClaim claim) implements ClaimDecision {}

    /**
     * An earlier attempt completed, and its result answers the request.
     *
     * @param claim the claim of the earlier attempt
     * @param result result of the earlier attempt
     */
    record Replayed(Claim claim, Payload result) implements ClaimDecision {}

    /**
     * An earlier attempt ran to its end without a stored result: it failed, or the result was too large to store.
     *
     * @param claim the claim of the earlier attempt
     */
    record EndedWithoutResult(Claim claim) implements ClaimDecision {}

    /**
     * Another attempt is running, or other entries keep acquiring the claim.
     *
     * @param claim the claim of the other attempt
     */
    record Running(Claim claim) implements ClaimDecision {}

    /**
     * It cannot be determined whether an earlier attempt ran; the stage is not run again.
     *
     * @param claim the claim of the earlier attempt
     */
    record OutcomeUnknown(Claim claim) implements ClaimDecision {}

    /** The idempotency key was used with another request body. */
    record KeyReused() implements ClaimDecision {}

    /**
     * The claim was not acquired because the store or the time did not allow it; the new attempt is never dispatched.
     *
     * @param retryAfter time after which the store may be available again, zero if unknown
     */
    record NotAcquired(Duration retryAfter) implements ClaimDecision {}
}
