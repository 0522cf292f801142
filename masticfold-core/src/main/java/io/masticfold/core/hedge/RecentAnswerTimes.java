package io.masticfold.core.hedge;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Distribution of the times until an answer over the current and the previous window, so that it follows a change
 * within two windows. Used by one thread.
 */
public final class RecentAnswerTimes {

    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double PERCENT = 100;

    private final TimeSource time;
    private final long windowNanos;
    private IntCountsHistogram current = histogram();
    private IntCountsHistogram previous = histogram();
    private long windowStartNanos;

    /**
     * Creates an empty distribution.
     *
     * @param window length of a window; positive
     */
    public RecentAnswerTimes(TimeSource time, Duration window) {
        this.time = time;
        this.windowNanos = window.toNanos();
        this.windowStartNanos = time.nanoTime();
    }

    /** Records the time until an answer; times above a minute count as a minute. */
    public void record(Duration answerTime) {
        rotate();
        long micros = TimeUnit.NANOSECONDS.toMicros(answerTime.toNanos());
        current.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
    }

    /** Returns a quantile, 0 to 1; empty if there are too few answers for one of them to lie beyond it. */
    public Optional<Duration> quantile(double quantile) {
        rotate();
        IntCountsHistogram both = current.copy();
        both.add(previous);
        return both.getTotalCount() * (1 - quantile) < 1
                ? Optional.empty()
                : Optional.of(Duration.of(both.getValueAtPercentile(quantile * PERCENT), ChronoUnit.MICROS));
    }

    private void rotate() {
        long elapsed = time.nanoTime() - windowStartNanos;
        if (elapsed < windowNanos) {
            return;
        }
        IntCountsHistogram emptied = previous;
        emptied.reset();
        previous = current;
        current = emptied;
        if (elapsed >= 2 * windowNanos) {
            previous.reset();
        }
        windowStartNanos += elapsed / windowNanos * windowNanos;
    }

    private static IntCountsHistogram histogram() {
        return new IntCountsHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }
}
