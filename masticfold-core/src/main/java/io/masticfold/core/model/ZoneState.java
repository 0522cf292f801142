package io.masticfold.core.model;

/** Lists the states that operators can set for an availability zone. */
public enum ZoneState {
    IN,
    OUT;

    /** Returns whether the availability zone accepts new work. */
    public boolean acceptsNewWork() {
        return this == IN;
    }
}
