package io.masticfold.cli.operate;

import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.time.TimeSource;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Changes the state of an object and waits until all processes have confirmed it.
 *
 * @param <S> type of the specification
 */
abstract class AbstractStateCommand<S extends ConfigSpec> implements Command {

    /** Changes are in force everywhere within 3 s; processes that need longer are listed. */
    private static final Duration CONFIRM_BOUND = Duration.ofSeconds(5);

    private final ObjectKind kind;
    private final Map<String, FieldChange<S>> changes;

    /**
     * Creates a command.
     *
     * @param kind kind of the objects
     * @param changes the change by its word on the command line
     */
    AbstractStateCommand(ObjectKind kind, Map<String, FieldChange<S>> changes) {
        this.kind = kind;
        this.changes = changes;
    }

    @Override
    public final String name() {
        return kind.code();
    }

    @Override
    public final String arguments() {
        return String.join("|", changes.keySet()) + " NAME";
    }

    @Override
    public final Options options() {
        return new Options().addOption(OptionSupport.objectApi()).addOption(OptionSupport.vmList());
    }

    @Override
    public final ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments = OptionSupport.arguments(line, 2, 2, arguments());
        FieldChange<S> change = changes.get(arguments.get(0));
        if (change == null) {
            throw new CommandException(
                    ExitCode.USAGE, "expected one of " + changes.keySet() + ", found '" + arguments.get(0) + "'");
        }
        InetSocketAddress vmList = OptionSupport.vmList(line);
        try (PlatformSession session = new PlatformSession(OptionSupport.objectApi(line))) {
            long version = change.apply(session, new ObjectKey(kind, arguments.get(1)), out);
            return new Confirmation(session, vmList, TimeSource.system(), CONFIRM_BOUND).await(version, out, err);
        }
    }
}
