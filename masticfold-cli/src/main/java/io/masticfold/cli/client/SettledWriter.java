package io.masticfold.cli.client;

import io.masticfold.cli.command.CommandException;
import io.masticfold.platform.store.StoreReply;
import io.masticfold.platform.store.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * Writes objects and settles lost answers. After a lost answer the object is read back: if it carries our change id,
 * the write took effect. If it still has the expected version, the write may yet arrive, so the same conditional write
 * is sent again; of the two at most one can take effect.
 */
public final class SettledWriter {

    private static final int MAX_TRIES = 4;

    private final ObjectAccess objects;

    /** Creates a writer for a objects. */
    public SettledWriter(ObjectAccess objects) {
        this.objects = objects;
    }

    /**
     * Writes an object by conditional update.
     *
     * @param expectedVersion version the writer has read, 0 to create
     * @param changeId id of the change; must be new for each change
     * @param spec the specification as JSON text
     */
    public WriteOutcome write(String kind, String name, long expectedVersion, String changeId, String spec)
            throws CommandException {
        String lost = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            StoreReply reply = objects.put(kind, name, expectedVersion, changeId, spec);
            WriteOutcome outcome = outcome(reply, changeId, lost);
            if (outcome != null) {
                return outcome;
            }
            lost = reply.toString();
            outcome = readBack(kind, name, expectedVersion, changeId, lost);
            if (outcome != null) {
                return outcome;
            }
        }
        return new WriteOutcome.Unknown(String.valueOf(lost));
    }

    private static @Nullable WriteOutcome outcome(StoreReply reply, String changeId, @Nullable String lost) {
        if (reply instanceof StoreReply.Written written) {
            return new WriteOutcome.Accepted(written.version());
        } else if (reply instanceof StoreReply.Conflict conflict) {
            return named(conflict.current(), changeId, lost);
        } else if (reply instanceof StoreReply.Lost) {
            return null;
        } else if (lost != null) {
            // This try had no effect, but an earlier one may still have.
            return reply instanceof StoreReply.Unavailable ? null : new WriteOutcome.Unknown(lost);
        }
        return new WriteOutcome.NotDone(reply.toString());
    }

    private @Nullable WriteOutcome readBack(
            String kind, String name, long expectedVersion, String changeId, String lost) throws CommandException {
        StoreReply reply = objects.get(kind, name);
        if (reply instanceof StoreReply.Found found) {
            return found.object().version() == expectedVersion ? null : named(found.object(), changeId, lost);
        }
        return reply instanceof StoreReply.Absent && expectedVersion != 0 ? named(null, changeId, lost) : null;
    }

    /** Judges by the change in force; after a lost answer, ours may have been in force before another one. */
    private static WriteOutcome named(@Nullable StoredObject current, String changeId, @Nullable String lost) {
        if (current != null && current.changeId().equals(changeId)) {
            return new WriteOutcome.Accepted(current.version());
        }
        WriteOutcome.Conflict conflict = new WriteOutcome.Conflict(current);
        return lost == null ? conflict : new WriteOutcome.Unknown(lost + ", then " + conflict.text());
    }
}
