package io.masticfold.core.error;

/** Advice on whether and where to retry after an error. */
public enum Retry {
    /** A retry would fail in the same way. */
    NEVER,
    /** The caller may retry after the delay given in the response. */
    LATER,
    /** The entry may immediately retry at another target. */
    ELSEWHERE;

    /** Returns whether the entry may retry at another target itself. */
    public boolean elsewhere() {
        return this == ELSEWHERE;
    }
}
