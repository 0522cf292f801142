package io.masticfold.core.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.invariant.Invariant;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the invariants under every fault at every step, with faults injected once, twice and in random pairs. */
@Tag("fault-matrix")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class FaultMatrixTests {

    private static final long PAIR_SEED = 20261204;
    private static final int PAIRS_PER_STEP = 24;

    private final List<String> tableRows = new ArrayList<>();
    private int cellsRun;
    private int cellsFailed;
    private int impossibleCells;

    /** Returns all cells, including the impossible ones. */
    static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        Random random = new Random(PAIR_SEED);
        for (Step step : Step.values()) {
            for (List<Fault> faults : combinations(random)) {
                for (Scenario scenario : Scenario.values()) {
                    cells.add(new Cell(step, faults, scenario, false));
                    cells.add(new Cell(step, faults, scenario, true));
                }
            }
        }
        return cells;
    }

    private static List<List<Fault>> combinations(Random random) {
        List<List<Fault>> combinations = new ArrayList<>();
        List<List<Fault>> pairs = new ArrayList<>();
        for (Fault first : Fault.values()) {
            combinations.add(List.of(first));
            combinations.add(List.of(first, first));
            Stream.of(Fault.values())
                    .filter(second -> second != first)
                    .forEach(second -> pairs.add(List.of(first, second)));
        }
        Collections.shuffle(pairs, random);
        combinations.addAll(pairs.subList(0, PAIRS_PER_STEP));
        return combinations;
    }

    static List<Step> steps() {
        return List.of(Step.values());
    }

    @ParameterizedTest
    @MethodSource("steps")
    void invariantsHoldUnderEveryFaultAtStep(Step step) {
        List<String> failures = new ArrayList<>();
        cells().stream().filter(cell -> cell.step() == step).forEach(cell -> runCell(cell, failures));
        assertThat(failures).isEmpty();
    }

    private void runCell(Cell cell, List<String> failures) {
        ImpossibleCell reason = ImpossibleCell.of(cell).orElse(null);
        if (reason != null) {
            impossibleCells++;
            tableRows.add("-\t" + cell.step() + '\t' + label(cell) + "\timpossible: " + reason.reason());
            return;
        }
        cellsRun++;
        List<Violation> violations = new Simulation(cell, null).run();
        cellsFailed += violations.isEmpty() ? 0 : 1;
        for (Invariant invariant : Invariant.values()) {
            boolean holds = violations.stream().noneMatch(violation -> violation.invariant() == invariant);
            tableRows.add(invariant + "\t" + cell.step() + '\t' + label(cell) + '\t' + (holds ? "holds" : "BROKEN"));
        }
        violations.stream().limit(2).forEach(violation -> failures.add(cell + ": " + violation));
    }

    private static String label(Cell cell) {
        return cell.faultNames() + " " + cell.scenario() + (cell.checksFencing() ? " fencing" : "");
    }

    @AfterAll
    void writeTable() throws IOException {
        Path table = Path.of("target", "fault-matrix.tsv");
        Files.createDirectories(table.getParent());
        List<String> lines = new ArrayList<>(List.of("invariant\tstep\tfault\tverdict"));
        lines.addAll(tableRows);
        Files.write(table, lines);
        System.out.println("fault matrix: " + cellsRun + " cells run, " + (cellsRun - cellsFailed) + " passed, "
                + impossibleCells + " impossible");
    }
}
