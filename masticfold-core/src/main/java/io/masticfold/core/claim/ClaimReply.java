package io.masticfold.core.claim;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Represents the reply to an operation on the claim store. */
public sealed interface ClaimReply
        permits ClaimReply.Stored, ClaimReply.Absent, ClaimReply.Conflict, ClaimReply.Unavailable, ClaimReply.Lost {

    /**
     * A read found a claim, or a write took effect.
     *
     * @param claim the claim as now stored
     */
    record Stored(VersionedClaim claim) implements ClaimReply {}

    /** A read found no claim. */
    record Absent() implements ClaimReply {}

    /**
     * A write had no effect because the store has another version.
     *
     * @param current the stored claim, null if there is none
     */
    record Conflict(@Nullable VersionedClaim current) implements ClaimReply {}

    /**
     * An operation was not possible and certainly had no effect.
     *
     * @param retryAfter time after which the store may be available again
     */
    record Unavailable(Duration retryAfter) implements ClaimReply {}

    /** The reply to a write was lost or late; it is not known whether the write took effect. */
    record Lost() implements ClaimReply {}
}
