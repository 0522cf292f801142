package io.masticfold.core.retry;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Bounds repeated sends in every window of a fixed length by a share of the first sends in it, and a fixed number
 * beside. The sum over gateways that each hold a part of the fixed number keeps the bound of all of them. Used by one
 * thread.
 */
public final class WindowRetryBudget implements RetryBudget {

    /**
     * Part of the fixed number that is used. Gateways count windows that end at different moments, so that the sum of
     * what each may send can pass the bound of all by a few; the rest allows for it.
     */
    static final double USED_EXTRA = 0.9;

    private final TimeSource time;
    private final long windowNanos;
    private final double ratio;
    private final DoubleSupplier extra;
    private final Deque<Long> first = new ArrayDeque<>();
    private final Deque<Long> repeated = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param window length of the window
     * @param ratio repeats for each first send
     * @param extra repeats beside those; may change with the number of gateways
     */
    public WindowRetryBudget(TimeSource time, Duration window, double ratio, DoubleSupplier extra) {
        this.time = time;
        this.windowNanos = window.toNanos();
        this.ratio = ratio;
        this.extra = extra;
    }

    @Override
    public void earn() {
        first.addLast(time.nanoTime());
        forget();
    }

    @Override
    public boolean spend() {
        forget();
        if (repeated.size() + 1 > allowed()) {
            return false;
        }
        repeated.addLast(time.nanoTime());
        return true;
    }

    /** Returns the repeats that are left in the present window. */
    public double left() {
        forget();
        return allowed() - repeated.size();
    }

    private double allowed() {
        return ratio * first.size() + USED_EXTRA * extra.getAsDouble();
    }

    private void forget() {
        long oldest = time.nanoTime() - windowNanos;
        drop(first, oldest);
        drop(repeated, oldest);
    }

    private static void drop(Deque<Long> times, long oldest) {
        while (!times.isEmpty() && times.peekFirst() - oldest < 0) {
            times.pollFirst();
        }
    }
}
