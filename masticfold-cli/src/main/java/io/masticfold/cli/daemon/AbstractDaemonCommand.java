package io.masticfold.cli.daemon;

import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.platform.json.JsonProblemException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs a daemon from a settings file. */
abstract class AbstractDaemonCommand implements Command {

    private static final String SETTINGS = "settings";

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(SETTINGS)
                        .hasArg()
                        .argName("FILE")
                        .required()
                        .desc("JSON file with the settings of the process")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream _out, PrintStream err) throws CommandException {
        OptionSupport.arguments(line, 0, 0, "none");
        String file = line.getOptionValue(SETTINGS);
        try {
            return DaemonRunner.run(daemon(file, OptionSupport.read(file)));
        } catch (JsonProblemException e) {
            e.problems().forEach(err::println);
            return ExitCode.INVALID;
        }
    }

    /**
     * Creates the daemon.
     *
     * @throws JsonProblemException if the settings have faults
     */
    abstract Daemon daemon(String file, String text) throws JsonProblemException;
}
