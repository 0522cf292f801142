package io.masticfold.core.model;

/** Lists the states that operators can set for a target. */
public enum TargetState {
    SERVING,
    LEAVING;

    /** Returns whether the target accepts new work. */
    public boolean acceptsNewWork() {
        return this == SERVING;
    }
}
