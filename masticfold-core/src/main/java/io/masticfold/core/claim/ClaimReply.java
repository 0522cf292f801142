package io.masticfold.core.claim;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Answers an operation on the claim store. */
public sealed interface ClaimReply
        permits ClaimReply.Found, ClaimReply.Absent, ClaimReply.Conflict, ClaimReply.Unavailable, ClaimReply.Lost {

    /**
     * Answers a read that found a claim, or a write that took effect.
     *
     * @param claim the claim as the store has it now
     */
    record Found(VersionedClaim claim) implements ClaimReply {}

    /** Answers a read that found nothing. */
    record Absent() implements ClaimReply {}

    /**
     * Answers a write that met another version; the write had no effect.
     *
     * @param current the claim the store has, null if it has none
     */
    record Conflict(@Nullable VersionedClaim current) implements ClaimReply {}

    /**
     * Answers an operation that certainly had no effect.
     *
     * @param retryAfter time after which the store may be back
     */
    record Unavailable(Duration retryAfter) implements ClaimReply {}

    /** Answers a write whose effect is not known: the answer was lost or late. */
    record Lost() implements ClaimReply {}
}
