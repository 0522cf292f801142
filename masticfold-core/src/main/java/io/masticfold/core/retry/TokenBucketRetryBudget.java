package io.masticfold.core.retry;

import io.masticfold.core.time.TimeSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries with a token bucket. Each first attempt deposits {@link #DEPOSIT_MILLI_TOKENS} thousandths of a retry,
 * so that retries stay at a tenth of the first attempts. One more retry per minimum interval is always allowed, because
 * an entry with little traffic could otherwise not retry for minutes. Safe for use by several threads.
 */
public final class TokenBucketRetryBudget implements RetryBudget {

    /** Deposit of a first attempt, in thousandths of a retry. */
    static final long DEPOSIT_MILLI_TOKENS = 100;

    /** Cost of a retry, in thousandths of a retry. */
    static final long RETRY_MILLI_TOKENS = 1000;

    private final TimeSource time;
    private final long maximumMilliTokens;
    private final long minimumIntervalNanos;
    private final AtomicLong milliTokens = new AtomicLong();
    private final AtomicLong nextMinimumNanos;

    /**
     * Creates an empty budget.
     *
     * @param time the time source
     * @param settings settings of the budget
     */
    public TokenBucketRetryBudget(TimeSource time, RetryBudgetSettings settings) {
        this.time = time;
        this.maximumMilliTokens = settings.maximumBalance() * RETRY_MILLI_TOKENS;
        this.minimumIntervalNanos = settings.minimumInterval().toNanos();
        this.nextMinimumNanos = new AtomicLong(time.nanoTime());
    }

    @Override
    public void deposit() {
        milliTokens.accumulateAndGet(
                DEPOSIT_MILLI_TOKENS, (balance, deposit) -> Math.min(maximumMilliTokens, balance + deposit));
    }

    @Override
    public boolean tryWithdraw() {
        long before = milliTokens.getAndUpdate(
                balance -> balance >= RETRY_MILLI_TOKENS ? balance - RETRY_MILLI_TOKENS : balance);
        return before >= RETRY_MILLI_TOKENS || withdrawMinimum();
    }

    private boolean withdrawMinimum() {
        long now = time.nanoTime();
        long next = nextMinimumNanos.get();
        return now - next >= 0 && nextMinimumNanos.compareAndSet(next, now + minimumIntervalNanos);
    }
}
