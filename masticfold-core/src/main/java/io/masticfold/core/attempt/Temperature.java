package io.masticfold.core.attempt;

/** Warm-up state of a target, which determines how much of its full load it can handle. */
public enum Temperature {
    COLD,
    WARMING,
    WARM;

    /** Returns whether the target can handle its full load. */
    public boolean warm() {
        return this == WARM;
    }
}
