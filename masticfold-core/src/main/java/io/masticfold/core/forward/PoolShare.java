package io.masticfold.core.forward;

/**
 * Names a pool that serves a part of a route's requests.
 *
 * @param pool name of the pool
 * @param weight share of the requests, relative to the other pools of the route; not negative
 */
public record PoolShare(String pool, double weight) {

    /** Checks the range. */
    public PoolShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of pool " + pool + " must not be negative: " + weight);
        }
    }
}
