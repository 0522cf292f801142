package io.masticfold.core.retry;

import java.time.Duration;

/**
 * Holds the bounds of a retry budget.
 *
 * @param maximumBalance most retries that may be saved up
 * @param minimumInterval time between two retries that are allowed without being earned
 */
public record RetrySettings(int maximumBalance, Duration minimumInterval) {

    /** Allows a burst of ten retries and one unearned retry a second. */
    public static final RetrySettings DEFAULT = new RetrySettings(10, Duration.ofSeconds(1));

    /** Checks the ranges. */
    public RetrySettings {
        if (maximumBalance < 1) {
            throw new IllegalArgumentException("maximumBalance must be at least 1: " + maximumBalance);
        }
        if (minimumInterval.isNegative() || minimumInterval.isZero()) {
            throw new IllegalArgumentException("minimumInterval must be positive: " + minimumInterval);
        }
    }
}
