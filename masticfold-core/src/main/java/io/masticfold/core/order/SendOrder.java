package io.masticfold.core.order;

/**
 * Send an order to the engine.
 *
 * @param order order to send
 */
public record SendOrder(EngineOrder order) implements OrderStep {}
