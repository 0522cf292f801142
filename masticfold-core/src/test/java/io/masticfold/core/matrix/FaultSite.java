package io.masticfold.core.matrix;

/**
 * Identifies the processes that a fault is injected into.
 *
 * @param entry the entry that takes part in the step
 * @param agent the agent that takes part in the step, or the agent of the preferred target if the step involves none
 */
record FaultSite(SimulatedEntry entry, SimulatedAgent agent) {

    SimulatedLink link() {
        return entry.link(agent);
    }
}
