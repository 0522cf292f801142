package io.masticfold.core.quarantine;

import java.util.Set;

/**
 * Tells what evidence in favour of suspects has changed.
 *
 * @param cleared names of the suspects that were suspected or quarantined, alone or in a group, until now
 * @param released names of suspects and groups that are not quarantined any more
 * @param narrowed names of suspects and groups that are quarantined in place of a larger group
 */
public record QuarantineChange(Set<String> cleared, Set<String> released, Set<String> narrowed) {

    /** Copies the names. */
    public QuarantineChange {
        cleared = Set.copyOf(cleared);
        released = Set.copyOf(released);
        narrowed = Set.copyOf(narrowed);
    }

    /** Returns whether nothing has changed. */
    public boolean isEmpty() {
        return cleared.isEmpty() && released.isEmpty() && narrowed.isEmpty();
    }
}
