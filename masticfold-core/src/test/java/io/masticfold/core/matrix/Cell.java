package io.masticfold.core.matrix;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes one test case of the fault matrix.
 *
 * @param step the step at which the faults are injected
 * @param faults the faults, in the order in which they are injected
 * @param scenario the request under test
 * @param checksFencing whether targets refuse calls from an agent incarnation that has been replaced
 */
record Cell(Step step, List<Fault> faults, Scenario scenario, boolean checksFencing) {

    Cell {
        faults = List.copyOf(faults);
    }

    /** Returns the names of the faults, joined by plus signs. */
    String faultNames() {
        return faults.stream().map(Fault::name).collect(Collectors.joining("+"));
    }

    @Override
    public String toString() {
        return step + " x " + faultNames() + " " + scenario + (checksFencing ? " fencing checked" : " fencing ignored");
    }
}
