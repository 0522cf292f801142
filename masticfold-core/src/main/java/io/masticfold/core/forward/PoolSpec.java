package io.masticfold.core.forward;

import org.jspecify.annotations.Nullable;

/**
 * Describes a pool of targets.
 *
 * @param name name of the pool
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldPerSecond requests a second that a cold target bears; 0 if its targets do not turn cold
 * @param engine set for pools of model engines
 * @param stage set for stage pools
 */
public record PoolSpec(
        String name,
        int maxConnections,
        double coldPerSecond,
        @Nullable EngineSpec engine,
        @Nullable StagePoolSpec stage) {

    /** Checks the ranges. */
    public PoolSpec {
        if (maxConnections < 1) {
            throw new IllegalArgumentException("maxConnections of pool " + name + " must be positive");
        }
    }
}
