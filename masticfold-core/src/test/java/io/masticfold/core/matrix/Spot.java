package io.masticfold.core.matrix;

/**
 * Names the processes that take part in the step at which a fault strikes.
 *
 * @param entry the entry of the step
 * @param agent the agent of the step; the one beside the preferred target if the step has none
 */
record Spot(MatrixEntry entry, MatrixAgent agent) {

    MatrixLink link() {
        return entry.link(agent);
    }
}
