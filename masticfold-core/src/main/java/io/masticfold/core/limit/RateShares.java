package io.masticfold.core.limit;

import io.masticfold.core.model.Contract;

/** Supplies the share of a workspace's rate that this entry may use. Safe for use by several threads. */
@FunctionalInterface
public interface RateShares {

    /**
     * Returns this entry's share of the rate of a contract, for use by an arriving request. An implementation may count
     * each call as an arrival to measure the demand.
     *
     * @param contract the contract
     * @return requests per second, positive and at most the contract's rate
     */
    double shareForArrival(Contract contract);
}
