package io.masticfold.core.order;

/**
 * Request an entry for a permit to load weights from the weight store, or renew the current permit.
 *
 * @param weightBytes size of the weights to load, in bytes
 */
public record RequestPermit(long weightBytes) implements OrderStep {}
