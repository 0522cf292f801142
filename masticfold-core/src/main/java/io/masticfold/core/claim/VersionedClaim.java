package io.masticfold.core.claim;

/**
 * Holds a claim as the store has it.
 *
 * @param claim the claim
 * @param version version the store gave
 */
public record VersionedClaim(Claim claim, long version) {}
