package io.masticfold.core.error;

/** States where a retry after an error makes sense. */
public enum Retry {
    /** A retry would meet the same answer. */
    NEVER,
    /** The caller may retry after the time given in the answer. */
    LATER,
    /** The entry may retry at another target at once. */
    ELSEWHERE;

    /** Returns whether the entry itself may try another target. */
    public boolean elsewhere() {
        return this == ELSEWHERE;
    }
}
