package io.masticfold.core.matrix;

/**
 * Selects the cells in which an agent is frozen while an operator takes its availability zone or target out. After it
 * resumes it may take a dispatch that waited in its connection before it takes the change, and neither the gate nor the
 * deadline can tell how long the dispatch has waited.
 */
final class FrozenAgentCells {

    private FrozenAgentCells() {}

    static boolean covers(Cell cell) {
        return cell.step().operator() && cell.faults().contains(Fault.AGENT_FROZEN);
    }
}
