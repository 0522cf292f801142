package io.masticfold.core.limit;

import io.masticfold.core.model.Contract;

/** Supplies the part of a workspace's rate that this entry may use. Safe for use by several threads. */
@FunctionalInterface
public interface RateShares {

    /**
     * Returns the share of a contract's rate.
     *
     * @param contract the contract
     * @return requests per second, positive and at most the contract's rate
     */
    double share(Contract contract);
}
