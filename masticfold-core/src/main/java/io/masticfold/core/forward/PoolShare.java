package io.masticfold.core.forward;

/**
 * Assigns a share of the requests of a route to a pool.
 *
 * @param pool name of the pool
 * @param weight weight relative to the other pools of the route; not negative
 */
public record PoolShare(String pool, double weight) {

    /** Validates the range. */
    public PoolShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of pool " + pool + " must not be negative: " + weight);
        }
    }
}
