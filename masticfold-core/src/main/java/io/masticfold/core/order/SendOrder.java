package io.masticfold.core.order;

/**
 * Sends an order to the engine.
 *
 * @param order the order
 */
public record SendOrder(EngineOrder order) implements OrderStep {}
