package io.masticfold.core.forward;

/**
 * Describes the model engines of a pool.
 *
 * @param slots requests that one engine runs at the same time
 * @param cacheTokens tokens that fit into the memory of one engine
 */
public record EngineSpec(int slots, long cacheTokens) {

    /** Checks the ranges. */
    public EngineSpec {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
        if (cacheTokens < 1) {
            throw new IllegalArgumentException("cacheTokens must be positive: " + cacheTokens);
        }
    }
}
