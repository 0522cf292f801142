package io.masticfold.cli.command;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Represents one subcommand. */
public interface Command {

    /** Returns the name on the command line. */
    String name();

    /** Returns one line of help. */
    String description();

    /** Returns the arguments after the options, for the help, for example {@code FILE...}. */
    default String arguments() {
        return "";
    }

    /** Returns the options; {@code --help} is added to them. */
    default Options options() {
        return new Options();
    }

    /**
     * Runs the command.
     *
     * @param line the parsed command line
     * @param out receives results
     * @param err receives faults
     * @throws CommandException if the command cannot go on
     */
    ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException;
}
