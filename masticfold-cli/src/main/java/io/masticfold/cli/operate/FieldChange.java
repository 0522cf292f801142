package io.masticfold.cli.operate;

import io.masticfold.cli.client.ChangeIds;
import io.masticfold.cli.client.ObjectAccess;
import io.masticfold.cli.client.SettledWriter;
import io.masticfold.cli.client.WriteOutcome;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.store.StoreReply;
import io.masticfold.platform.store.StoredObject;
import java.io.PrintStream;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Changes one field of an object by conditional update. A conflicting change of another field is merged by trying
 * again on top of it; one that changed the same field wins and is reported.
 *
 * @param <S> type of the specification
 */
final class FieldChange<S extends ConfigSpec> {

    private static final int MAX_TRIES = 8;

    private final Class<S> type;
    private final Function<S, Enum<?>> field;
    private final UnaryOperator<S> change;
    private final JsonSpecCodec codec = new JsonSpecCodec();

    FieldChange(Class<S> type, Function<S, Enum<?>> field, UnaryOperator<S> change) {
        this.type = type;
        this.field = field;
        this.change = change;
    }

    /**
     * Applies the change.
     *
     * @return the version that has the wanted value
     * @throws CommandException if the object does not exist, or the change was refused or could not be settled
     */
    long apply(ObjectAccess objects, ObjectKey key, PrintStream out) throws CommandException {
        String changeId = ChangeIds.next();
        StoredObject current = read(objects, key);
        Enum<?> before = field.apply(decode(key, current));
        for (int i = 0; i < MAX_TRIES; i++) {
            S spec = decode(key, current);
            S changed = change.apply(spec);
            if (field.apply(spec) != before) {
                throw conflict(key, current, field.apply(spec));
            }
            if (changed.equals(spec)) {
                out.println(key + " unchanged, " + code(before) + " since version " + current.version());
                return current.version();
            }
            WriteOutcome outcome = new SettledWriter(objects)
                    .write(key.kind().code(), key.name(), current.version(), changeId, codec.encode(changed));
            if (outcome instanceof WriteOutcome.Accepted accepted) {
                out.println(key + " " + code(field.apply(changed)) + ", version " + accepted.version() + ", change "
                        + changeId);
                return accepted.version();
            }
            current = conflicting(key, outcome);
        }
        throw new CommandException(ExitCode.CONFLICT, key + " not changed: it changes too often");
    }

    private static StoredObject read(ObjectAccess objects, ObjectKey key) throws CommandException {
        StoreReply reply = objects.get(key.kind().code(), key.name());
        if (reply instanceof StoreReply.Found found) {
            return found.object();
        } else if (reply instanceof StoreReply.Absent) {
            throw new CommandException(ExitCode.NOT_FOUND, key + " does not exist");
        }
        throw new CommandException(ExitCode.UNAVAILABLE, key + " cannot be read: " + reply);
    }

    private static StoredObject conflicting(ObjectKey key, WriteOutcome outcome) throws CommandException {
        if (outcome instanceof WriteOutcome.Conflict conflict) {
            StoredObject current = conflict.current();
            if (current != null && !current.deleted()) {
                return current;
            }
            throw new CommandException(ExitCode.CONFLICT, key + " not changed: " + conflict.text());
        } else if (outcome instanceof WriteOutcome.NotDone notDone) {
            throw new CommandException(ExitCode.UNAVAILABLE, key + " not changed: " + notDone.reason());
        }
        throw new CommandException(ExitCode.UNKNOWN, key + " may or may not be changed: " + outcome);
    }

    private static CommandException conflict(ObjectKey key, StoredObject current, Enum<?> value) {
        return new CommandException(
                ExitCode.CONFLICT,
                key + " not changed: change " + current.changeId() + " of version " + current.version() + " set it to "
                        + code(value));
    }

    private static String code(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private S decode(ObjectKey key, StoredObject object) throws CommandException {
        ObjectKind kind = key.kind();
        try {
            return type.cast(codec.decode(kind, key.name(), String.valueOf(object.spec())));
        } catch (MasticfoldException e) {
            throw new CommandException(ExitCode.INVALID, key + " in the object API is not valid: " + e.getMessage(), e);
        }
    }
}
