package io.masticfold.core.claim;

/**
 * Holds a claim with its version in the store.
 *
 * @param claim the claim
 * @param version version assigned by the store
 */
public record VersionedClaim(Claim claim, long version) {}
