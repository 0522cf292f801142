package io.masticfold.entry;

import io.masticfold.core.routing.RoutingStrategy;

/**
 * Policies of an entry. Production uses the default; benchmarks use others for comparison.
 *
 * @param routing strategy that selects targets
 * @param sheddingEnabled whether load shedding, which ranks requests by worth per cost, is enabled
 */
public record EntryOptions(RoutingStrategy routing, boolean sheddingEnabled) {

    /** Policies used in production. */
    public static final EntryOptions DEFAULT = new EntryOptions(RoutingStrategy.EXPECTED_TIME, true);
}
