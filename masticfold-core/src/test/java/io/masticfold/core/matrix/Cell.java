package io.masticfold.core.matrix;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes one cell of the matrix.
 *
 * @param step step at which the faults strike
 * @param faults the faults, in the order in which they strike
 * @param scenario the request under test
 * @param checksFencing whether the targets refuse calls of an agent that has been replaced
 */
record Cell(Step step, List<Fault> faults, Scenario scenario, boolean checksFencing) {

    Cell {
        faults = List.copyOf(faults);
    }

    /** Returns the faults in one word. */
    String fault() {
        return faults.stream().map(Fault::name).collect(Collectors.joining("+"));
    }

    @Override
    public String toString() {
        return step + " x " + fault() + " " + scenario + (checksFencing ? " fencing checked" : " fencing ignored");
    }
}
