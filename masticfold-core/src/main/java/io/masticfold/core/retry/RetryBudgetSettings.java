package io.masticfold.core.retry;

import java.time.Duration;

/**
 * Holds the settings of a token bucket for retries.
 *
 * @param maximumBalance capacity of the bucket, in retries
 * @param minimumInterval interval at which one retry is allowed even if the bucket is empty
 */
public record RetryBudgetSettings(int maximumBalance, Duration minimumInterval) {

    /** Allows a burst of ten retries, and one retry per second from an empty bucket. */
    public static final RetryBudgetSettings DEFAULT = new RetryBudgetSettings(10, Duration.ofSeconds(1));

    /** Validates the ranges. */
    public RetryBudgetSettings {
        if (maximumBalance < 1) {
            throw new IllegalArgumentException("maximumBalance must be at least 1: " + maximumBalance);
        }
        if (minimumInterval.isNegative() || minimumInterval.isZero()) {
            throw new IllegalArgumentException("minimumInterval must be positive: " + minimumInterval);
        }
    }
}
