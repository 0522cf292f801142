package io.masticfold.gateway.request;

/**
 * Load of the usable targets of a pool.
 *
 * @param slots requests that they run concurrently
 * @param inFlight requests that run or wait there, as far as this gateway knows
 */
record PoolLoad(int slots, int inFlight) {}
