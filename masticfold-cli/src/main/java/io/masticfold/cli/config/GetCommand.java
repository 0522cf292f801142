package io.masticfold.cli.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.command.Command;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.command.OptionSupport;
import io.masticfold.platform.json.JsonSupport;
import io.masticfold.platform.store.StoreReply;
import io.masticfold.platform.store.StoredObject;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints objects as envelopes that {@code apply} accepts. */
public final class GetCommand implements Command {

    /** Creates the command. */
    public GetCommand() {}

    @Override
    public String name() {
        return "get";
    }

    @Override
    public String description() {
        return "prints one object, or all objects of a kind";
    }

    @Override
    public String arguments() {
        return "KIND [NAME]";
    }

    @Override
    public Options options() {
        return new Options().addOption(OptionSupport.objectApi());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws CommandException {
        List<String> arguments = OptionSupport.arguments(line, 1, 2, arguments());
        try (PlatformSession session = new PlatformSession(OptionSupport.objectApi(line))) {
            if (arguments.size() == 1) {
                out.println(JsonSupport.writePretty(all(session, arguments.get(0))));
                return ExitCode.OK;
            }
            return one(session.get(arguments.get(0), arguments.get(1)), out, err);
        }
    }

    private static ExitCode one(StoreReply reply, PrintStream out, PrintStream err) throws CommandException {
        if (reply instanceof StoreReply.Found found) {
            out.println(JsonSupport.writePretty(envelope(found.object())));
            return ExitCode.OK;
        } else if (reply instanceof StoreReply.Absent) {
            err.println("the object does not exist");
            return ExitCode.NOT_FOUND;
        }
        err.println("object API cannot be read: " + reply);
        return ExitCode.UNAVAILABLE;
    }

    private static JsonNode all(PlatformSession session, String kind) throws CommandException {
        ArrayNode list = JsonSupport.array();
        for (StoredObject object : session.list(List.of(kind)).objects()) {
            if (!object.deleted()) {
                list.add(envelope(object));
            }
        }
        return list;
    }

    private static ObjectNode envelope(StoredObject object) throws CommandException {
        ObjectNode envelope = JsonSupport.object()
                .put("kind", object.kind())
                .put("name", object.name())
                .put("version", object.version())
                .put("changeId", object.changeId());
        try {
            envelope.set("spec", JsonSupport.parse(String.valueOf(object.spec())));
        } catch (JsonProcessingException e) {
            throw new CommandException(ExitCode.FAILED, "malformed specification of " + object.id(), e);
        }
        return envelope;
    }
}
