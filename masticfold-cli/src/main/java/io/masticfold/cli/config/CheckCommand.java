package io.masticfold.cli.config;

import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.platform.json.ConfigValidator;
import io.masticfold.platform.json.JsonProblem;
import io.masticfold.platform.json.SpecEntry;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Checks settings and object files; all object files together must form a whole set. */
public final class CheckCommand implements Command {

    /** Creates the command. */
    public CheckCommand() {}

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String description() {
        return "checks settings files and a whole set of object files";
    }

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        List<String> files = OptionSupport.arguments(line, 1, Integer.MAX_VALUE, arguments());
        List<JsonProblem> problems = new ArrayList<>();
        List<SpecEntry> entries = new ArrayList<>();
        int settings = 0;
        for (String file : files) {
            CheckedFile checked = CheckedFile.read(file, OptionSupport.read(file));
            problems.addAll(checked.problems());
            entries.addAll(checked.entries());
            settings += checked.settings() ? 1 : 0;
        }
        if (problems.isEmpty()) {
            problems.addAll(ConfigValidator.validate(entries));
        }
        problems.forEach(err::println);
        if (!problems.isEmpty()) {
            return ExitCode.INVALID;
        }
        out.println("valid: " + settings + " settings files, " + entries.size() + " objects");
        return ExitCode.OK;
    }
}
