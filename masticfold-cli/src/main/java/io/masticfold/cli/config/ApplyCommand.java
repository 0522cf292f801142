package io.masticfold.cli.config;

import io.masticfold.cli.client.ChangeIds;
import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.client.SettledWriter;
import io.masticfold.cli.client.WriteOutcome;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.json.ObjectFileReader;
import io.masticfold.platform.json.SpecEntry;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Writes objects from files by conditional update. References are written before the objects that refer to them. One
 * refused object does not keep the others from being written; the exit code reports the worst result.
 */
public final class ApplyCommand implements Command {

    private static final String CHANGE_ID = "change-id";

    /** Zones and models are referred to by targets, targets by pipelines, and pipelines by contracts. */
    private static final List<ObjectKind> ORDER =
            List.of(ObjectKind.ZONE, ObjectKind.MODEL, ObjectKind.TARGET, ObjectKind.PIPELINE, ObjectKind.CONTRACT);

    private final JsonSpecCodec codec = new JsonSpecCodec();

    /** Creates the command. */
    public ApplyCommand() {}

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String description() {
        return "writes objects from files to the object API";
    }

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public Options options() {
        Option changeId = Option.builder()
                .longOpt(CHANGE_ID)
                .hasArg()
                .argName("id")
                .desc("id of the change, new for each change; generated unless given")
                .get();
        return new Options().addOption(OptionSupport.objectApi()).addOption(changeId);
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        List<SpecEntry> entries = read(OptionSupport.arguments(line, 1, Integer.MAX_VALUE, arguments()));
        String changeId = line.getOptionValue(CHANGE_ID, ChangeIds.next());
        try (PlatformSession session = new PlatformSession(OptionSupport.objectApi(line))) {
            StoredSet stored = StoredSet.read(session, codec);
            stored.check(entries);
            SettledWriter writer = new SettledWriter(session);
            ExitCode worst = ExitCode.OK;
            for (SpecEntry entry : entries) {
                worst = worst.worse(write(writer, stored, entry, changeId, out, err));
            }
            return worst;
        }
    }

    private ExitCode write(
            SettledWriter writer, StoredSet stored, SpecEntry entry, String changeId, PrintStream out, PrintStream err)
            throws CommandException {
        String label = entry.key().toString();
        if (stored.holds(entry)) {
            out.println(label + " unchanged");
            return ExitCode.OK;
        }
        long expected = stored.expectedVersion(entry);
        String kind = entry.key().kind().code();
        WriteOutcome outcome = writer.write(kind, entry.key().name(), expected, changeId, codec.encode(entry.spec()));
        if (outcome instanceof WriteOutcome.Accepted accepted) {
            String done = expected == 0 ? " created" : " updated";
            out.println(label + done + ", version " + accepted.version() + ", change " + changeId);
            return ExitCode.OK;
        } else if (outcome instanceof WriteOutcome.Conflict conflict) {
            err.println(label + " not changed: expected version " + expected + ", " + conflict.text());
            return ExitCode.CONFLICT;
        } else if (outcome instanceof WriteOutcome.NotDone notDone) {
            err.println(label + " not changed: " + notDone.reason());
            return ExitCode.UNAVAILABLE;
        }
        err.println(label + " may or may not be changed by " + changeId + ": " + outcome);
        return ExitCode.UNKNOWN;
    }

    private static List<SpecEntry> read(List<String> files) throws CommandException {
        List<SpecEntry> entries = new ArrayList<>();
        for (String file : files) {
            try {
                entries.addAll(ObjectFileReader.read(file, OptionSupport.read(file)));
            } catch (JsonProblemException e) {
                throw new CommandException(ExitCode.INVALID, e.getMessage(), e);
            }
        }
        entries.sort(Comparator.comparingInt(entry -> ORDER.indexOf(entry.spec().kind())));
        return entries;
    }
}
