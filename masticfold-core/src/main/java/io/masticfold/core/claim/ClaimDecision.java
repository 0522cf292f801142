package io.masticfold.core.claim;

import io.masticfold.core.attempt.Payload;
import java.time.Duration;

/** Says what follows from a claim for the request that wanted it. */
public sealed interface ClaimDecision
        permits ClaimDecision.Held,
                ClaimDecision.Replayed,
                ClaimDecision.Spent,
                ClaimDecision.Running,
                ClaimDecision.Undecided,
                ClaimDecision.KeyReused,
                ClaimDecision.Unsettled {

    /**
     * Allows the wanted attempt to be dispatched: the store names it.
     *
     * @param claim the claim as the store has it
     */
    record Held(VersionedClaim claim) implements ClaimDecision {}

    /**
     * Answers with the result of an earlier attempt.
     *
     * @param claim the claim of the earlier attempt
     * @param result its result
     */
    record Replayed(Claim claim, Payload result) implements ClaimDecision {}

    /**
     * States that an earlier attempt ran to its end and left no result: it failed, or the result was too large to keep.
     *
     * @param claim the claim of the earlier attempt
     */
    record Spent(Claim claim) implements ClaimDecision {}

    /**
     * States that another attempt is running, or that other entries keep moving the claim.
     *
     * @param claim the claim of the other attempt
     */
    record Running(Claim claim) implements ClaimDecision {}

    /**
     * States that nobody can tell whether an earlier attempt ran; it never runs again.
     *
     * @param claim the claim of the earlier attempt
     */
    record Undecided(Claim claim) implements ClaimDecision {}

    /** States that the key was used with another request body. */
    record KeyReused() implements ClaimDecision {}

    /**
     * States that the store did not settle the claim; the wanted attempt is never dispatched.
     *
     * @param retryAfter time after which the store may be back
     */
    record Unsettled(Duration retryAfter) implements ClaimDecision {}
}
