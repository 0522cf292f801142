package io.masticfold.cli.operate;

import io.masticfold.cli.client.EntryAnswer;
import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.platform.store.StoredObject;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the processes with the configuration in force at each, the zones, the targets and the attainment. */
public final class StatusCommand implements Command {

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String description() {
        return "prints processes, configuration in force, zones, targets and attainment by contract";
    }

    @Override
    public Options options() {
        return new Options().addOption(OptionSupport.objectApi()).addOption(OptionSupport.vmList());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        OptionSupport.arguments(line, 0, 0, "none");
        InetSocketAddress vmList = OptionSupport.vmList(line);
        try (PlatformSession session = new PlatformSession(OptionSupport.objectApi(line))) {
            StatusReport report = new StatusReport(EntryAnswer.readAll(session, vmList), out);
            report.processes();
            ExitCode code = objects(session, report, err);
            report.contracts();
            return code;
        }
    }

    private static ExitCode objects(PlatformSession session, StatusReport report, PrintStream err) {
        try {
            List<StoredObject> objects = session.list(List.of(ObjectKind.ZONE.code(), ObjectKind.TARGET.code()))
                    .objects();
            report.zones(objects);
            report.targets(objects);
            return ExitCode.OK;
        } catch (CommandException e) {
            // The status of the processes is most useful during an outage of the object API, so it is still printed.
            err.println("zones and targets are not shown: " + e.getMessage());
            return e.exitCode();
        }
    }
}
