package io.masticfold.cli;

import io.masticfold.cli.bench.BenchCommand;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.config.ApplyCommand;
import io.masticfold.cli.config.CheckCommand;
import io.masticfold.cli.config.GetCommand;
import io.masticfold.cli.daemon.AgentCommand;
import io.masticfold.cli.daemon.EntryCommand;
import io.masticfold.cli.dev.DevCommand;
import io.masticfold.cli.explain.ExplainCommand;
import io.masticfold.cli.operate.StatusCommand;
import io.masticfold.cli.operate.TargetCommand;
import io.masticfold.cli.operate.ZoneCommand;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Starts the subcommand named on the command line. */
public final class Masticfold {

    private static final String PROGRAM = "masticfold";
    private static final String HELP = "help";

    /** The subcommands, in the order of the help. Adding one takes one line here. */
    private static final List<Command> COMMANDS = List.of(
            new EntryCommand(),
            new AgentCommand(),
            new DevCommand(),
            new CheckCommand(),
            new ApplyCommand(),
            new GetCommand(),
            new ZoneCommand(),
            new TargetCommand(),
            new StatusCommand(),
            new ExplainCommand(),
            new BenchCommand(),
            new VersionCommand());

    private Masticfold() {}

    /** Runs the program and exits with the code of the subcommand. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    /** Runs the program and returns the code of the subcommand. */
    static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0) {
            printCommands(err);
            return ExitCode.USAGE;
        }
        if (args[0].equals("--" + HELP) || args[0].equals(HELP)) {
            printCommands(out);
            return ExitCode.OK;
        }
        Optional<Command> command =
                COMMANDS.stream().filter(known -> known.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            err.println("unknown subcommand '" + args[0] + "'");
            printCommands(err);
            return ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(args, 1, args.length), out, err);
    }

    private static ExitCode run(Command command, String[] args, PrintStream out, PrintStream err) {
        try {
            if (List.of(args).contains("--" + HELP)) {
                printHelp(command, out);
                return ExitCode.OK;
            }
            CommandLine line = new DefaultParser().parse(command.options(), args);
            return command.run(line, out, err);
        } catch (ParseException e) {
            err.println(PROGRAM + ' ' + command.name() + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        } catch (IOException e) {
            err.println(PROGRAM + ' ' + command.name() + ": " + e);
            return ExitCode.FAILED;
        }
    }

    private static void printCommands(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " SUBCOMMAND [--help] ...");
        int width =
                COMMANDS.stream().mapToInt(known -> known.name().length()).max().orElse(1);
        COMMANDS.forEach(command -> stream.println("  " + pad(command.name(), width) + "  " + command.description()));
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }

    private static void printHelp(Command command, PrintStream out) throws IOException {
        Options options = command.options()
                .addOption(
                        Option.builder().longOpt(HELP).desc("prints this help").get());
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new TextHelpAppendable(out))
                .setShowSince(false)
                .get();
        String syntax = (PROGRAM + ' ' + command.name() + " [OPTIONS] " + command.arguments()).trim();
        formatter.printHelp(syntax, command.description(), options, "", false);
    }
}
