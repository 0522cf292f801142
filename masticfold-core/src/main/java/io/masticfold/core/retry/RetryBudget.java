package io.masticfold.core.retry;

/** Bounds retries to a share of requests, so that retries never multiply a failure. Safe for use by several threads. */
public interface RetryBudget {

    /** Records a first attempt, which earns a share of a retry. */
    void earn();

    /** Spends one retry if the budget allows; returns whether it did. */
    boolean spend();
}
