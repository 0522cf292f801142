package io.masticfold.core.attempt;

/** States how much of its full load a target can take. */
public enum Temperature {
    COLD,
    WARMING,
    WARM;

    /** Returns whether the target takes its full load. */
    public boolean warm() {
        return this == WARM;
    }
}
