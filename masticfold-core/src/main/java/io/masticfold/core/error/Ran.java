package io.masticfold.core.error;

/** Whether work was executed, as far as the system can be certain of it. */
public enum Ran {
    YES("yes"),
    NO("no"),
    UNKNOWN("unknown");

    private final String code;

    Ran(String code) {
        this.code = code;
    }

    /** Returns the value used in responses to callers. */
    public String code() {
        return code;
    }

    /**
     * Combines the statements about two pieces of work into one about both.
     *
     * @param other statement about the other piece of work
     * @return {@link #YES} if either was executed, else {@link #UNKNOWN} if either is unknown, else {@link #NO}
     */
    public Ran or(Ran other) {
        if (this == YES || other == YES) {
            return YES;
        }
        return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NO;
    }
}
