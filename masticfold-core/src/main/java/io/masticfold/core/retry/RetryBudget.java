package io.masticfold.core.retry;

/**
 * Limits retries to a share of the requests, so that retries cannot amplify a failure. Thread safety depends on the
 * implementation.
 */
public interface RetryBudget {

    /** Records a first attempt, which adds a fraction of a retry to the budget. */
    void deposit();

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    boolean tryWithdraw();
}
