package io.masticfold.core.directory;

/**
 * Decides what a gateway does about the entry under its name. A name belongs to the process that registered last; each
 * takeover at another address raises the generation of the entry, so that a process that was replaced does not take the
 * name back, while the entry of a store that was restored from a copy is recognized as old.
 */
public final class RegistrationPolicy {

    /** Generation of a process that has not registered yet, and of an entry that does not state one. */
    public static final long NO_GENERATION = 0;

    private RegistrationPolicy() {}

    /** What a gateway does about the entry under its name. */
    public enum Action {
        /** The entry is its own. */
        KEEP,
        /** Another process has taken the name over. */
        YIELD,
        /** The entry is that of an earlier process, which has to be replaced. */
        REPLACE
    }

    /**
     * Returns what to do about an existing entry.
     *
     * @param sameAddress whether the entry has the address of this gateway
     * @param listed generation of the entry
     * @param own generation with which this process registered; {@link #NO_GENERATION} if it has not yet
     */
    public static Action decide(boolean sameAddress, long listed, long own) {
        if (sameAddress) {
            return Action.KEEP;
        }
        return own == NO_GENERATION || listed < own ? Action.REPLACE : Action.YIELD;
    }

    /**
     * Returns the generation with which a process registers.
     *
     * @param listed generation of the entry that is replaced; {@link #NO_GENERATION} if there is none
     * @param own generation with which this process registered before
     */
    public static long next(long listed, long own) {
        return Math.max(listed + 1, own);
    }
}
