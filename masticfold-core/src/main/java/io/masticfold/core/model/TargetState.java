package io.masticfold.core.model;

/** States whether operators let a target take work. */
public enum TargetState {
    SERVING,
    LEAVING;

    /** Returns whether the target takes new work. */
    public boolean takesWork() {
        return this == SERVING;
    }
}
