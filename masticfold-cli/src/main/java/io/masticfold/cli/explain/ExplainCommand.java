package io.masticfold.cli.explain;

import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;

/** Prints the way of one request from the decision logs of several processes, in order of time. */
public final class ExplainCommand implements Command {

    private static final int MOST_FILES = 10_000;
    private static final String USAGE = "REQUEST-ID FILE...";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String description() {
        return "prints the way of one request from the logs of gateways, with what each believed";
    }

    @Override
    public String arguments() {
        return USAGE;
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments = OptionSupport.arguments(line, 2, MOST_FILES, USAGE);
        String request = arguments.get(0);
        List<DecisionLine> lines = arguments.subList(1, arguments.size()).stream()
                .distinct()
                .flatMap(file -> read(file, err).lines().flatMap(text -> DecisionLine.parse(file, text).stream()))
                .sorted(Comparator.comparingLong(DecisionLine::timestampMillis))
                .toList();
        List<DecisionLine> own =
                lines.stream().filter(found -> found.concerns(request)).toList();
        if (own.isEmpty()) {
            err.println("no line about request " + request + " in " + (arguments.size() - 1) + " files");
            return ExitCode.INVALID;
        }
        beliefs(lines, own.get(0)).values().forEach(belief -> out.println(format(belief, "before ")));
        own.forEach(found -> out.println(format(found, "")));
        return ExitCode.OK;
    }

    private static String read(String file, PrintStream err) {
        try {
            return OptionSupport.read(file);
        } catch (CommandException e) {
            // The other files may still tell what happened.
            err.println(e.getMessage());
            return "";
        }
    }

    /** Returns the last change of each kind of belief before the first line of the request, in the same log. */
    private static Map<String, DecisionLine> beliefs(List<DecisionLine> lines, DecisionLine first) {
        Map<String, DecisionLine> beliefs = new HashMap<>();
        for (DecisionLine line : lines) {
            boolean before = line.timestampMillis() <= first.timestampMillis();
            if (before && line.file().equals(first.file()) && line.changesBelief()) {
                beliefs.put(line.values().getOrDefault("event", line.message()), line);
            }
        }
        return beliefs;
    }

    private static String format(DecisionLine line, String prefix) {
        return Instant.ofEpochMilli(line.timestampMillis()) + " " + line.file() + " " + prefix + line.text();
    }
}
