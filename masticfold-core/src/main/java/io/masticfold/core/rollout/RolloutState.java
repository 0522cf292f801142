package io.masticfold.core.rollout;

/** State of an order as it is stored for all gateways. */
public enum RolloutState {
    /** No gateway has stored a state yet. */
    ORDERED,
    /** Both versions serve. */
    RUNNING,
    /** The pool has moved to the new version; final. */
    COMPLETED,
    /** The pool stays at the versions that it had; final. */
    ROLLED_BACK;

    /** Returns whether no other state may follow. */
    public boolean last() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
