package io.masticfold.core.retry;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries in a sliding window to a share of the first sends in the window plus a fixed allowance. The
 * allowance is divided among the gateways, so that together they stay within it. Not safe for use by several threads.
 */
public final class SlidingWindowRetryBudget implements RetryBudget {

    /**
     * Fraction of the allowance that is granted. The windows of the gateways are not aligned, so that their retries can
     * exceed the common limit by a few; the remaining fraction absorbs these.
     */
    static final double GRANTED_FRACTION = 0.9;

    private final TimeSource time;
    private final long windowNanos;
    private final double ratio;
    private final DoubleSupplier extra;
    private final Deque<Long> firstSends = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param window length of the sliding window
     * @param ratio retries per first send
     * @param extra this gateway's part of the fixed allowance; may change with the number of gateways
     */
    public SlidingWindowRetryBudget(TimeSource time, Duration window, double ratio, DoubleSupplier extra) {
        this.time = time;
        this.windowNanos = window.toNanos();
        this.ratio = ratio;
        this.extra = extra;
    }

    @Override
    public void deposit() {
        firstSends.addLast(time.nanoTime());
        dropExpired();
    }

    @Override
    public boolean tryWithdraw() {
        dropExpired();
        if (retries.size() + 1 > allowed()) {
            return false;
        }
        retries.addLast(time.nanoTime());
        return true;
    }

    /** Returns the number of retries that are left in the current window. */
    public double remaining() {
        dropExpired();
        return allowed() - retries.size();
    }

    private double allowed() {
        return ratio * firstSends.size() + GRANTED_FRACTION * extra.getAsDouble();
    }

    private void dropExpired() {
        long oldest = time.nanoTime() - windowNanos;
        dropBefore(firstSends, oldest);
        dropBefore(retries, oldest);
    }

    private static void dropBefore(Deque<Long> times, long oldest) {
        while (!times.isEmpty() && times.peekFirst() - oldest < 0) {
            times.pollFirst();
        }
    }
}
