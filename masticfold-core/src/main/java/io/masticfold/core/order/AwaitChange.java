package io.masticfold.core.order;

/**
 * Do nothing until a change of the configuration or of the engine, or the passage of time, leads to another decision.
 *
 * @param reason why no action is taken
 */
public record AwaitChange(Reason reason) implements OrderStep {

    /** Reasons for taking no action. */
    public enum Reason {
        /** The configuration contains no desired state for the target. */
        NO_DESIRED_STATE,
        /** The engine is in the desired state. */
        IN_SYNC,
        /** The configuration of the agent is older than the latest order known to the agent or the engine. */
        OUTDATED_DESIRED_STATE,
        /** The agent has just started, and its configuration may be out of date. */
        STARTUP_DELAY,
        /** An order has been sent and its response is pending. */
        ORDER_IN_FLIGHT,
        /** The latest report of the engine was measured before the last order ended. */
        OUTDATED_OBSERVED_STATE,
        /** The last order failed, and the delay before the next attempt has not elapsed. */
        BACKOFF,
        /** A permit request is pending, or was denied and may not be repeated yet. */
        NO_PERMIT
    }
}
