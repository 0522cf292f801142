package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.StageSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against pieces that are asked for without the inputs that their stage needs, and against absurd numbers. */
final class StagePiecesTests {

    private static final long MAX_PIECES = 1000;

    private static final List<StageSpec> CHAIN = List.of(
            new StageSpec("a", List.of(), 1), new StageSpec("b", List.of(0), 1), new StageSpec("c", List.of(1), 1));

    /** Returns the graph whose edges are the set bits of a number, one for each pair of stages. */
    private static List<StageSpec> graph(int size, int edges) {
        List<StageSpec> stages = new ArrayList<>();
        int bit = 0;
        for (int stage = 0; stage < size; stage++) {
            List<Integer> before = new ArrayList<>();
            for (int input = 0; input < stage; input++) {
                if ((edges >> bit++ & 1) == 1) {
                    before.add(input);
                }
            }
            stages.add(new StageSpec("p" + stage, before, 1));
        }
        return stages;
    }

    private static List<Integer> pieces(int size, int omitted) {
        return IntStream.range(0, size)
                .mapToObj(stage -> (omitted >> stage & 1) == 1 ? 0 : 1 + stage % 2)
                .toList();
    }

    /** The definition: each stage that is not omitted reads the key, or something of a stage before it. */
    private static boolean canBeMade(List<StageSpec> stages, List<Integer> pieces) {
        return IntStream.range(0, stages.size())
                .filter(stage -> pieces.get(stage) > 0)
                .mapToObj(stage -> stages.get(stage).inputStages())
                .allMatch(before -> before.isEmpty()
                        || before.stream().mapToInt(pieces::get).sum() > 0);
    }

    private static Set<String> results(int stage, int count) {
        return new HashSet<>(
                IntStream.range(0, count).mapToObj(piece -> stage + "." + piece).toList());
    }

    private static Set<String> resultsOf(List<Integer> stages, List<Integer> pieces) {
        Set<String> all = new HashSet<>();
        stages.forEach(stage -> all.addAll(results(stage, pieces.get(stage))));
        return all;
    }

    /** Makes all pieces in the order in which the graph asks for them, and checks what each of them reads. */
    private static void assertMadeFromTheirInputs(List<StageSpec> stages, List<Integer> pieces) {
        StageGraph graph = new StageGraph(stages, pieces);
        Set<Integer> asked = new HashSet<>();
        while (!graph.complete()) {
            List<Integer> ready = graph.takeReadyStages();
            assertThat(ready).isNotEmpty();
            for (int stage : ready) {
                assertThat(asked.add(stage)).isTrue();
                List<Integer> before = stages.get(stage).inputStages();
                assertThat(graph.inputHandles(stage))
                        .doesNotHaveDuplicates()
                        .containsExactlyInAnyOrderElementsOf(resultsOf(before, pieces));
                assertThat(before.isEmpty()
                                || graph.pieces(stage) == 0
                                || !graph.inputHandles(stage).isEmpty())
                        .isTrue();
                for (int piece = 0; piece < pieces.get(stage); piece++) {
                    graph.recordResult(stage, piece, stage + "." + piece);
                }
            }
        }
        List<Integer> last = IntStream.range(0, stages.size())
                .filter(stage ->
                        stages.stream().noneMatch(other -> other.inputStages().contains(stage)))
                .boxed()
                .toList();
        assertThat(graph.finalHandles()).containsExactlyInAnyOrderElementsOf(resultsOf(last, pieces));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void everyGraphWithEverySubsetOmittedIsMadeFromItsInputsOrRefused(int size) {
        for (int edges = 0; edges < 1 << size * (size - 1) / 2; edges++) {
            List<StageSpec> stages = graph(size, edges);
            for (int omitted = 0; omitted < 1 << size; omitted++) {
                List<Integer> pieces = pieces(size, omitted);
                boolean possible = canBeMade(stages, pieces);

                assertThat(StagePieces.problem(stages, pieces, "k", MAX_PIECES).isEmpty())
                        .as("%s with pieces %s", stages, pieces)
                        .isEqualTo(possible);
                if (possible) {
                    assertMadeFromTheirInputs(stages, pieces);
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "0,2,1 | k | stage 1 lacks its input",
                "1,0,1 | k | stage 2 lacks its input",
                "0,0,1 | k | stage 2 lacks its input",
                "1,1,1 | '' | the request has no key",
                "-1,1,1 | k | negative",
                "1,1 | k | must state 3",
                "1,1,1,1 | k | must state 3",
                "1000000000,1,1 | k | more than 1000",
                "2000000000,2000000000,2000000000 | k | more than 1000",
            })
    void refusalSaysWhatIsWrong(String pieces, String key, String problem) {
        List<Integer> counts =
                Arrays.stream(pieces.split(",")).map(Integer::valueOf).toList();

        assertThat(StagePieces.problem(CHAIN, counts, key, MAX_PIECES))
                .hasValueSatisfying(text -> assertThat(text).contains(problem));
    }

    @Test
    void keyIsNeededOnlyIfAPieceIsMadeFromIt() {
        assertThat(StagePieces.problem(CHAIN, List.of(0, 0, 0), "", MAX_PIECES)).isEmpty();
        assertThat(StagePieces.problem(CHAIN, List.of(1, 1, 0), "k", MAX_PIECES))
                .isEmpty();
    }
}
