package io.masticfold.core.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies for every mechanism that at least one cell of the fault matrix fails if the mechanism is disabled. */
@Tag("fault-matrix")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class MutationTests {

    private static final long ORDER_SEED = 20261204;

    private final List<String> tableRows = new ArrayList<>();

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void matrixDetectsDisabledMechanism(Mutation mutation) {
        int cellsRun = 0;
        String lastCell = "none";
        List<Violation> violations = List.of();
        Iterator<Cell> cells = cells().iterator();
        while (violations.isEmpty() && cells.hasNext()) {
            Cell cell = cells.next();
            lastCell = cell.toString();
            violations = new Simulation(cell, mutation).run();
            cellsRun++;
        }
        String names = violations.stream()
                .map(violation -> violation.invariant().name())
                .distinct()
                .collect(Collectors.joining(" "));
        String row = mutation + "\t" + (violations.isEmpty() ? "MISSED" : "noticed") + '\t' + cellsRun + '\t' + names
                + '\t' + lastCell;
        tableRows.add(row);
        System.out.println(row);
        assertThat(violations).as("violations with %s disabled", mutation).isNotEmpty();
    }

    /**
     * Returns the possible cells in random order, so that every step is reached early. All of them pass as long as no
     * mechanism is disabled. Cells in which targets check fencing are left out.
     */
    private static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>(FaultMatrixTests.cells().stream()
                .filter(cell -> !cell.checksFencing())
                .filter(cell -> ImpossibleCell.of(cell).isEmpty())
                .toList());
        Collections.shuffle(cells, new Random(ORDER_SEED));
        return cells;
    }

    @AfterAll
    void writeTable() throws IOException {
        Path table = Path.of("target", "mutations.tsv");
        Files.createDirectories(table.getParent());
        List<String> lines = new ArrayList<>(List.of("mechanism\toutcome\tcells run until then\tinvariants\tcell"));
        lines.addAll(tableRows);
        Files.write(table, lines);
    }
}
