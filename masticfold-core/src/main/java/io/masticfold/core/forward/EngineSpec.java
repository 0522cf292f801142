package io.masticfold.core.forward;

/**
 * Describes the inference engines of a pool. Every value applies to one engine.
 *
 * @param slots largest number of requests that run concurrently
 * @param cacheTokens capacity of the cache, in tokens
 */
public record EngineSpec(int slots, long cacheTokens) {

    /** Validates the ranges. */
    public EngineSpec {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        if (cacheTokens < 1) {
            throw new IllegalArgumentException("cacheTokens must be positive: " + cacheTokens);
        }
    }
}
