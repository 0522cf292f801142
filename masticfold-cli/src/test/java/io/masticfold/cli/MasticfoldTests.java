package io.masticfold.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.cli.command.ExitCode;
import io.masticfold.testkit.object.ObjectApiFault;
import io.masticfold.testkit.object.ObjectApiStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class MasticfoldTests {

    private static final String IN = "{\"region\":\"r\",\"state\":\"in\"}";
    private static final String OUT = "{\"region\":\"r\",\"state\":\"out\"}";
    private static final String FILE = "[{\"kind\":\"zone\",\"name\":\"a\",\"spec\":" + IN + "}]";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ObjectApiStandIn api =
            new ObjectApiStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private FakeEntries entries;

    @TempDir
    private Path directory;

    @BeforeEach
    void start() throws IOException {
        api.start();
        entries = new FakeEntries();
    }

    @AfterEach
    void stop() {
        entries.close();
        api.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            ''                                       | USAGE   | usage: masticfold SUBCOMMAND
            help                                     | OK      | zone
            zone --help                              | OK      | --object-api
            check --help                             | OK      | FILE...
            nothing                                  | USAGE   | unknown subcommand 'nothing'
            get zone                                 | USAGE   | object-api
            get zone --object-api localhost:80       | USAGE   | must be a numeric ip:port, found 'localhost:80'
            check                                    | USAGE   | expected arguments: FILE...
            check no-such-file.json                  | INVALID | no-such-file.json: cannot be read
            version                                  | OK      | masticfold
            """)
    void explainsItsUse(String line, ExitCode expected, String text) {
        ExitCode code = run(line.isEmpty() ? new String[0] : line.split(" "));

        assertThat(code).isEqualTo(expected);
        assertThat(output()).contains(text);
    }

    /** Guards against a check that accepts what the readers refuse, or names no place. */
    @Test
    void checksFilesAsAWholeSet() throws IOException {
        String good = file("zone.json", FILE);
        String target = file(
                "target.json",
                """
                {"kind": "target", "name": "t1", "spec": {
                  "zone": "b", "pool": "p", "kind": "service", "agent": "127.0.0.1:1", "address": "127.0.0.1:2",
                  "maxConcurrency": 4, "coldConcurrency": 1}}
                """);

        assertThat(run("check", good)).isEqualTo(ExitCode.OK);
        assertThat(run("check", good, target)).isEqualTo(ExitCode.INVALID);
        assertThat(output()).contains("target.json:1: $.spec.zone: no such zone; accepted: a, found \"b\"");
    }

    @Test
    void appliesAndReportsEachObject() throws IOException {
        assertThat(run("apply", file("zone.json", FILE), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.OK);
        assertThat(run("apply", file("zone.json", FILE), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.OK);
        assertThat(run("apply", file("out.json", FILE.replace("in\"", "out\"")), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.OK);

        assertThat(output()).contains("zone/a created, version 1", "zone/a unchanged", "zone/a updated, version 2");
        assertThat(run("get", "zone", "a", "--object-api", api.hostPort())).isEqualTo(ExitCode.OK);
        assertThat(output()).contains("\"version\" : 2", "\"state\" : \"out\"");
        assertThat(run("get", "zone", "b", "--object-api", api.hostPort())).isEqualTo(ExitCode.NOT_FOUND);
    }

    /** Guards against overwriting the change of another operator that the file's author has not seen. */
    @Test
    void namesTheOtherChangeOnAConflict() throws IOException {
        api.put("zone", "a", IN);
        api.put("zone", "a", OUT);
        String stale = FILE.replace("\"spec\"", "\"version\":1,\"spec\"");

        assertThat(run("apply", file("zone.json", stale), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.CONFLICT);
        assertThat(output()).contains("zone/a not changed: expected version 1, met change testkit of version 2");
        assertThat(api.object("zone", "a")).contains("\"state\":\"out\"");
    }

    /** Guards against reporting a lost answer as a failure after the write took effect, or the reverse. */
    @ParameterizedTest
    @EnumSource(
            value = ObjectApiFault.class,
            names = {"LOSE_AFTER_EFFECT", "LOSE_BEFORE_EFFECT"})
    void settlesLostAnswers(ObjectApiFault fault) throws IOException {
        api.fault(fault, 1);

        assertThat(run("apply", file("zone.json", FILE), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.OK);
        assertThat(output()).contains("zone/a created, version 1");
        assertThat(api.revision()).isEqualTo(1);
    }

    @Test
    void changesNothingWhileTheObjectApiIsDown() throws IOException {
        api.fault(ObjectApiFault.UNAVAILABLE, -1);

        assertThat(run("apply", file("zone.json", FILE), "--object-api", api.hostPort()))
                .isEqualTo(ExitCode.UNAVAILABLE);
        api.clearFaults();
        assertThat(api.revision()).isZero();
    }

    @Test
    void takesAZoneOutAndWaitsForAllProcesses() throws IOException {
        api.put("zone", "a", IN);
        entries.entry("e1", 2, 2);
        entries.entry("e2", 2, 1);

        assertThat(operate("zone", "out", "a")).isEqualTo(ExitCode.OK);
        assertThat(output()).contains("zone/a out, version 2", "confirmed by all processes");
        assertThat(api.object("zone", "a")).contains("\"state\":\"out\"");
    }

    /** Guards against a zone reported as out while a process may still send work there. */
    @Test
    void listsTheProcessesThatHaveNotConfirmed() throws IOException {
        api.put("zone", "a", IN);
        entries.entry("e1", 2, 1);
        entries.entry("e2", 1, 1);
        entries.entry("e3", 2, 1);
        entries.kill("e3");

        assertThat(operate("zone", "out", "a")).isEqualTo(ExitCode.UNCONFIRMED);
        assertThat(output())
                .contains("not confirmed by agent of target t1: at revision 1")
                .contains("not confirmed by entry e2: at revision 1")
                .contains("not confirmed by entry e3: no answer")
                .doesNotContain("entry e1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"zone out b", "target drain t1"})
    void reportsUnknownObjects(String line) {
        assertThat(operate(line.split(" "))).isEqualTo(ExitCode.NOT_FOUND);
    }

    @Test
    void printsTheStatus() throws IOException {
        api.put("zone", "a", OUT);
        entries.entry("e1", 1, 1);
        entries.entry("e2", 1, 1);

        assertThat(operate("status")).isEqualTo(ExitCode.OK);
        assertThat(output())
                .contains("entry e1  zone a  ready  revision 1  digest d1")
                .contains("agent t1  zone a  usable  revision 1  digest d1")
                .contains("configuration is the same everywhere")
                .contains("a  region r  out")
                .contains("buyers  answered 400  in window 380  attainment 0.9500");
    }

    private ExitCode operate(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        line.addAll(List.of("--object-api", api.hostPort(), "--vm-list", entries.vmList()));
        return run(line.toArray(String[]::new));
    }

    private ExitCode run(String... arguments) {
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        return Masticfold.run(arguments, stream, stream);
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }
}
