package io.masticfold.platform.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ObjectFileTests {

    private static final String SET =
            """
            // A whole set, as an operator writes it.
            [
              {"kind": "zone", "name": "a", "spec": {"region": "r"}},
              {"kind": "model", "name": "base", "spec": {"version": "1", "weightBytes": 10}},
              {"kind": "target", "name": "t1", "spec": {
                "zone": "a", "pool": "engines", "kind": "engine", "agent": "127.0.0.1:1", "address": "127.0.0.1:2",
                "maxConcurrency": 4, "coldConcurrency": 1, "desired": {"model": "base", "version": "1"}}},
              {"kind": "pipeline", "name": "p", "spec": {
                "stages": [{"name": "s", "pool": "engines", "idempotent": true, "cost": 1}]}},
              {"kind": "contract", "name": "c", "spec": {
                "workspace": "w", "keySha256": "%s", "windowMillis": 800, "worth": 1, "priority": 5,
                "requestsPerSecond": 10, "burst": 5, "maxInFlight": 8, "pipelines": ["p"]}}
            ]
            """
                    .formatted("0".repeat(64));

    @Test
    void acceptsAConsistentSet() throws Exception {
        List<SpecEntry> entries = ObjectFileReader.read("set.json", SET);

        assertThat(entries).hasSize(5);
        assertThat(ConfigValidator.validate(entries)).isEmpty();
    }

    /** Guards against a dangling reference, which would otherwise show only as rejected requests. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            "zone": "a"          | "zone": "b"          | $[2].spec.zone: no such zone; accepted: a, found "b"
            "pool": "engines", "i| "pool": "none", "i   | pool has no target; accepted: engines, found "none"
            ["p"]                | ["q"]                | no such pipeline; accepted: p, found "q"
            {"model": "base"     | {"model": "other"    | no such model; accepted: base, found "other"
            """)
    void findsDanglingReferences(String from, String to, String expected) throws Exception {
        List<SpecEntry> entries = ObjectFileReader.read("set.json", SET.replace(from, to));

        assertThat(text(ConfigValidator.validate(entries))).contains(expected);
    }

    /** Guards against two contracts for one workspace or caller key, of which only one could be active. */
    @Test
    void findsDuplicates() throws Exception {
        List<SpecEntry> entries = ObjectFileReader.read("set.json", SET);
        List<SpecEntry> twice =
                List.of(entries.get(0), entries.get(1), entries.get(2), entries.get(3), entries.get(4), entries.get(4));

        assertThat(text(ConfigValidator.validate(twice)))
                .contains("contract name is used twice, first by contract/c at set.json:10")
                .contains("workspace of a contract is used twice")
                .contains("caller key of a contract is used twice");
    }

    /** Guards against reporting only the first problem, or a problem at the line of another object. */
    @Test
    void reportsEveryFaultWithItsLine() {
        String text = SET.replace("\"weightBytes\": 10", "\"weightBytes\": 0").replace("800", "0");

        JsonProblemException failure =
                catchThrowableOfType(JsonProblemException.class, () -> ObjectFileReader.read("set.json", text));

        assertThat(failure.problems())
                .extracting(JsonProblem::line, JsonProblem::path, JsonProblem::value)
                .containsExactly(
                        org.assertj.core.groups.Tuple.tuple(4, "$[1].spec.weightBytes", "0"),
                        org.assertj.core.groups.Tuple.tuple(11, "$[4].spec.windowMillis", "0"));
    }

    private static String text(List<JsonProblem> problems) {
        return problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n"));
    }
}
