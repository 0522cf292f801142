package io.masticfold.core.rollout;

/** What an order asks of the gateways now. */
public enum RolloutStep {
    /** The new version gets a limited share. */
    EXPOSE,
    /** All new requests go to the new version; what runs at the others ends. */
    MOVE,
    /** The new version gets nothing until the order ends; it is not known to be worse than the others. */
    STOP,
    /** The order is completed. */
    COMPLETE,
    /** The new version gets nothing more. */
    ROLL_BACK
}
