package io.masticfold.cli.client;

import io.masticfold.platform.store.StoredObject;
import org.jspecify.annotations.Nullable;

/** Ends a write after lost answers were settled as far as possible. */
public sealed interface WriteOutcome {

    /**
     * Reports that the write took effect.
     *
     * @param version the new version
     */
    record Accepted(long version) implements WriteOutcome {}

    /**
     * Reports that the object has another version than expected.
     *
     * @param current the object as the store has it, null if it has none
     */
    record Conflict(@Nullable StoredObject current) implements WriteOutcome {

        /** Returns which change the write met. */
        public String text() {
            return current == null
                    ? "the object does not exist"
                    : "met change " + current.changeId() + " of version " + current.version()
                            + (current.deleted() ? " that deleted the object" : "");
        }
    }

    /**
     * Reports that the write certainly had no effect.
     *
     * @param reason what prevented it
     */
    record NotDone(String reason) implements WriteOutcome {}

    /**
     * Reports that it is not known whether the write took effect.
     *
     * @param reason what happened
     */
    record Unknown(String reason) implements WriteOutcome {}
}
