package io.masticfold.core.forward;

import org.jspecify.annotations.Nullable;

/**
 * Describes a pool of targets.
 *
 * @param name name of the pool
 * @param maxConnections largest number of connections that one target accepts from all clients together
 * @param coldRequestsPerSecond requests per second that a cold target can serve; 0 if its targets never turn cold
 * @param engine set for pools of inference engines
 * @param stage set for stage pools
 */
public record PoolSpec(
        String name,
        int maxConnections,
        double coldRequestsPerSecond,
        @Nullable EngineSpec engine,
        @Nullable StagePoolSpec stage) {

    /** Validates the ranges. */
    public PoolSpec {
        if (maxConnections < 1) {
            throw new IllegalArgumentException("maxConnections of pool " + name + " must be positive");
        }
    }
}
