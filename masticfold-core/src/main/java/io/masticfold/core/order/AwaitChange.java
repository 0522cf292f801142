package io.masticfold.core.order;

/**
 * Does nothing until the configuration, the engine or the time changes the decision.
 *
 * @param reason why nothing is done
 */
public record AwaitChange(Reason reason) implements OrderStep {

    /** Lists why nothing is done. */
    public enum Reason {
        /** The configuration states no desired model. */
        NO_GOAL,
        /** The engine serves what it should. */
        IN_SYNC,
        /** The configuration at hand is older than what the engine was ordered before. */
        OUTDATED_GOAL,
        /** The configuration of a new agent may still lag behind. */
        SETTLING,
        /** The answer to an order is awaited. */
        ORDER_IN_FLIGHT,
        /** The last report of the engine is older than the end of the last order. */
        OUTDATED_VIEW,
        /** The last order failed a short time ago. */
        BACKOFF,
        /** The answer to a permit request is awaited, or a permit was denied a short time ago. */
        NO_PERMIT
    }
}
