package io.masticfold.core.matrix;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.invariant.Invariant;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a matrix that would not notice the absence of a mechanism. */
@Tag("fault-matrix")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class MutationTests {

    private final List<String> rows = new ArrayList<>();

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void theMatrixFailsWithoutTheMechanism(Mutation mutation) {
        int run = 0;
        int failed = 0;
        Set<Invariant> broken = EnumSet.noneOf(Invariant.class);
        String first = "none";
        for (Cell cell : cells()) {
            List<Violation> violations = new MatrixWorld(cell, mutation).run();
            run++;
            failed += violations.isEmpty() ? 0 : 1;
            first = failed == 1 && !violations.isEmpty() ? cell.toString() : first;
            violations.forEach(violation -> broken.add(violation.invariant()));
        }
        String names = broken.stream().map(Enum::name).collect(Collectors.joining(" "));
        String row = mutation + "\t" + (failed > 0 ? "noticed" : "MISSED") + '\t' + failed + " of " + run + '\t' + names
                + '\t' + first;
        rows.add(row);
        System.out.println(row);
        assertThat(failed).as("cells that fail without %s", mutation).isPositive();
    }

    /** Returns the cells that all hold with every mechanism in place; half of them, as fencing matters to none. */
    private static List<Cell> cells() {
        return FaultMatrixTests.cells().stream()
                .filter(cell -> !cell.checksFencing())
                .filter(cell -> ImpossibleCell.of(cell).isEmpty())
                .filter(cell -> !FrozenAgentCells.covers(cell))
                .toList();
    }

    @AfterAll
    void writeTable() throws IOException {
        Path table = Path.of("target", "mutations.tsv");
        Files.createDirectories(table.getParent());
        List<String> lines = new ArrayList<>(List.of("mechanism\toutcome\tfailed cells\tinvariants\tfirst cell"));
        lines.addAll(rows);
        Files.write(table, lines);
    }
}
