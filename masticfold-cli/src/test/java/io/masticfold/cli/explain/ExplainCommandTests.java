package io.masticfold.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a failed request whose cause cannot be found from its id. */
final class ExplainCommandTests {

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String line(long millis, String message, String pairs) {
        return "{\"timestamp\":" + millis + ",\"level\":\"INFO\",\"mdc\":{},\"kvpList\":[" + pairs + "],\"message\":\""
                + message + "\"}";
    }

    private ExitCode explain(String request, String... files) throws ParseException, CommandException {
        String[] arguments = new String[files.length + 1];
        arguments[0] = request;
        System.arraycopy(files, 0, arguments, 1, files.length);
        ExplainCommand command = new ExplainCommand();
        return command.run(
                new DefaultParser().parse(command.options(), arguments),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String file(String name, String... lines) throws IOException {
        Path file = folder.resolve(name);
        Files.write(file, List.of(lines));
        return file.toString();
    }

    @Test
    void theWayOfARequestIsPrintedInOrderOfTime() throws IOException, ParseException, CommandException {
        String one = file(
                "one.log",
                line(1000, "configuration in force", "{\"event\":\"MF6010\"},{\"version\":\"7\"}"),
                line(3000, "request failed", "{\"event\":\"MF6022\"},{\"request\":\"r1\"},{\"outcome\":\"unknown\"}"),
                "not a decision");
        String two = file(
                "two.log",
                line(2000, "request was sent", "{\"event\":\"MF6024\"},{\"request\":\"r1\"},{\"target\":\"t3\"}"),
                line(2500, "request was sent", "{\"event\":\"MF6024\"},{\"request\":\"r2\"},{\"target\":\"t4\"}"));

        assertThat(explain("r1", one, two)).isEqualTo(ExitCode.OK);

        List<String> printed = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(printed).hasSize(2);
        assertThat(printed.get(0)).contains("two.log").contains("target=t3");
        assertThat(printed.get(1)).contains("one.log").contains("outcome=unknown");
    }

    @Test
    void whatTheProcessBelievedStandsFirst() throws IOException, ParseException, CommandException {
        String log = file(
                "one.log",
                line(900, "configuration in force", "{\"event\":\"MF6010\"},{\"version\":\"6\"}"),
                line(1000, "configuration in force", "{\"event\":\"MF6010\"},{\"version\":\"7\"}"),
                line(2000, "request refused", "{\"event\":\"MF6021\"},{\"request\":\"r1\"}"),
                line(3000, "configuration in force", "{\"event\":\"MF6010\"},{\"version\":\"8\"}"));

        explain("r1", log);

        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("version=7")
                .doesNotContain("version=6")
                .doesNotContain("version=8");
    }

    @Test
    void anUnknownRequestIsReported() throws IOException, ParseException, CommandException {
        String log = file("one.log", line(1, "request refused", "{\"request\":\"r1\"}"));

        assertThat(explain("r9", log, "missing.log")).isEqualTo(ExitCode.INVALID);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("r9").contains("missing.log");
    }
}
