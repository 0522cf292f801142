package io.masticfold.core.retry;

import io.masticfold.core.time.TimeSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries with a token bucket. Each first attempt earns {@link #EARNED_MILLI_TOKENS} thousandths of a retry, so
 * retries stay at a tenth of the first attempts. One retry per minimum interval is allowed beside the bucket, because
 * an entry with little traffic would otherwise not earn a retry for minutes.
 */
public final class DefaultRetryBudget implements RetryBudget {

    /** Thousandths of a retry earned by a first attempt. */
    static final long EARNED_MILLI_TOKENS = 100;

    /** Thousandths of a retry one retry costs. */
    static final long RETRY_MILLI_TOKENS = 1000;

    private final TimeSource time;
    private final long maximumMilliTokens;
    private final long minimumIntervalNanos;
    private final AtomicLong milliTokens = new AtomicLong();
    private final AtomicLong nextMinimumNanos;

    /**
     * Creates an empty budget.
     *
     * @param time time source of the minimum rate
     * @param settings bounds of the budget
     */
    public DefaultRetryBudget(TimeSource time, RetrySettings settings) {
        this.time = time;
        this.maximumMilliTokens = settings.maximumBalance() * RETRY_MILLI_TOKENS;
        this.minimumIntervalNanos = settings.minimumInterval().toNanos();
        this.nextMinimumNanos = new AtomicLong(time.nanoTime());
    }

    @Override
    public void earn() {
        milliTokens.accumulateAndGet(
                EARNED_MILLI_TOKENS, (balance, earned) -> Math.min(maximumMilliTokens, balance + earned));
    }

    @Override
    public boolean spend() {
        long before = milliTokens.getAndUpdate(
                balance -> balance >= RETRY_MILLI_TOKENS ? balance - RETRY_MILLI_TOKENS : balance);
        return before >= RETRY_MILLI_TOKENS || spendMinimum();
    }

    private boolean spendMinimum() {
        long now = time.nanoTime();
        long next = nextMinimumNanos.get();
        return now - next >= 0 && nextMinimumNanos.compareAndSet(next, now + minimumIntervalNanos);
    }
}
