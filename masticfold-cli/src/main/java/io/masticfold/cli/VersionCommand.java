package io.masticfold.cli;

import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import java.io.PrintStream;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;

/** Prints the version of the program. */
final class VersionCommand implements Command {

    /** The archive names the version; a program run from class files has none. */
    private static final String UNPACKAGED = "development";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String description() {
        return "prints the version of the program";
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        OptionSupport.arguments(line, 0, 0, "none");
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        if (version == null) {
            err.println("the program does not run from its archive, which names the version");
        }
        out.println("masticfold " + Objects.requireNonNullElse(version, UNPACKAGED));
        return ExitCode.OK;
    }
}
