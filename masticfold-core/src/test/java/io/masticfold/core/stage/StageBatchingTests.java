package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against partial requests that occupy the storage of a full server, and against calls that never start. */
final class StageBatchingTests {

    static List<Case> cases() {
        return List.of(
                new Case("all fit", List.of("a", "a", "b"), 10, 6, 100, 100, 3),
                new Case("batch is full", List.of("a", "a", "b"), 10, 2, 100, 100, 2),
                new Case("only the batch size splits a request", List.of("a", "b", "b"), 10, 2, 100, 100, 2),
                new Case("a request that does not fit waits", List.of("a", "b", "b"), 10, 6, 25, 100, 1),
                new Case("the first request waits too", List.of("a", "a", "a"), 10, 6, 25, 100, 0),
                new Case("larger than the server", List.of("a", "a", "a"), 40, 6, 80, 100, 2),
                new Case("nothing waits", List.of(), 10, 6, 100, 100, 0));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void takesPiecesThatCanBeServed(Case given) {
        List<Long> bytes =
                given.requests().stream().map(_request -> given.bytes()).toList();

        assertThat(StageBatching.batchSize(
                        given.requests(), bytes, given.maxPieces(), given.freeBytes(), given.capacityBytes()))
                .as(given.name())
                .isEqualTo(given.expected());
    }

    record Case(
            String name,
            List<String> requests,
            long bytes,
            int maxPieces,
            long freeBytes,
            long capacityBytes,
            int expected) {}
}
