package io.masticfold.core.order;

/**
 * Asks an entry for a permit of the weight store, or renews the permit in use.
 *
 * @param weightBytes size of the load, in bytes
 */
public record AskPermit(long weightBytes) implements OrderStep {}
