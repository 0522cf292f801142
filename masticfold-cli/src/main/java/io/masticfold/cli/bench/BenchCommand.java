package io.masticfold.cli.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import java.io.PrintStream;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs one scenario with one policy and prints the figures. */
public final class BenchCommand implements Command {

    private static final String SEED = "seed";
    private static final String POLICY = "policy";
    private static final String JSON = "json";
    private static final String BASE_PORT = "base-port";
    private static final String DEFAULT_BASE_PORT = "24000";

    /** Not a scenario: prints the costs that docs/CAPACITY.md is worked out from. */
    private static final String SLOPES = "slopes";

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String description() {
        return "measures a scenario with real entries and agents and stand-in targets on loopback";
    }

    @Override
    public String arguments() {
        return "SCENARIO|slopes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(SEED)
                        .hasArg()
                        .argName("N")
                        .desc("seed of arrivals and service times, default 1")
                        .get())
                .addOption(Option.builder()
                        .longOpt(POLICY)
                        .hasArg()
                        .argName("NAME")
                        .desc("masticfold (default), round-robin, least-in-flight or no-shedding")
                        .get())
                .addOption(Option.builder()
                        .longOpt(BASE_PORT)
                        .hasArg()
                        .argName("PORT")
                        .desc("first of about three hundred loopback ports, default " + DEFAULT_BASE_PORT)
                        .get())
                .addOption(Option.builder()
                        .longOpt(JSON)
                        .desc("prints one line of JSON")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream _err) throws CommandException {
        String code = OptionSupport.arguments(line, 1, 1, "SCENARIO").get(0);
        if (code.equals(SLOPES)) {
            new SlopesRun().run().forEach(row -> print(row, out));
            return ExitCode.OK;
        }
        Scenario scenario = Scenario.ofCode(code)
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, "unknown scenario '" + code + "'"));
        String name = line.getOptionValue(POLICY, BenchPolicy.MASTICFOLD.code());
        BenchPolicy policy = BenchPolicy.ofCode(name)
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, "unknown policy '" + name + "'"));
        long seed = number(line, SEED, "1");
        int basePort = (int) number(line, BASE_PORT, DEFAULT_BASE_PORT);
        ObjectNode report = scenario == Scenario.OVERHEAD
                ? new OverheadRun(seed, basePort).run()
                : new BenchRun(scenario, policy, seed, basePort).run().json();
        out.println(line.hasOption(JSON) ? report.toString() : report.toPrettyString());
        return ExitCode.OK;
    }

    private static void print(SlopeRow row, PrintStream out) {
        String text = String.format(
                Locale.ROOT, "%s\t%d %s\t%.3f %s", row.what(), row.size(), row.unit(), row.value(), row.valueUnit());
        out.println(text);
    }

    private static long number(CommandLine line, String option, String otherwise) throws CommandException {
        String text = line.getOptionValue(option, otherwise);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new CommandException(
                    ExitCode.USAGE, "--" + option + " must be a whole number, found '" + text + "'", e);
        }
    }
}
