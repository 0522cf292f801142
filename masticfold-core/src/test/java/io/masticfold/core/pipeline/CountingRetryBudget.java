package io.masticfold.core.pipeline;

import io.masticfold.core.retry.RetryBudget;

/** Counts the calls that earn budget and the retries that a delegate grants. */
final class CountingRetryBudget implements RetryBudget {

    private final RetryBudget budget;
    int earned;
    int granted;

    CountingRetryBudget(RetryBudget budget) {
        this.budget = budget;
    }

    @Override
    public void deposit() {
        earned++;
        budget.deposit();
    }

    @Override
    public boolean tryWithdraw() {
        boolean allowed = budget.tryWithdraw();
        granted += allowed ? 1 : 0;
        return allowed;
    }
}
