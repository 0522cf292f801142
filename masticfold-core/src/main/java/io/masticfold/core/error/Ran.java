package io.masticfold.core.error;

/** States whether work was executed, as far as the system can prove it. */
public enum Ran {
    YES("yes"),
    NO("no"),
    UNKNOWN("unknown");

    private final String code;

    Ran(String code) {
        this.code = code;
    }

    /** Returns the value used in answers to callers. */
    public String code() {
        return code;
    }

    /**
     * Combines the knowledge about two pieces of work into one statement about both.
     *
     * @param other the statement about the other piece
     * @return {@link #YES} if either ran, else {@link #UNKNOWN} if either is unknown, else {@link #NO}
     */
    public Ran or(Ran other) {
        if (this == YES || other == YES) {
            return YES;
        }
        return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NO;
    }
}
