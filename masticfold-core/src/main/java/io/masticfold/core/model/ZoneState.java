package io.masticfold.core.model;

/** States whether operators let an availability zone take work. */
public enum ZoneState {
    IN,
    OUT;

    /** Returns whether the availability zone takes new work. */
    public boolean takesWork() {
        return this == IN;
    }
}
