package io.masticfold.core.pipeline;

import io.masticfold.core.claim.ClaimSettings;
import java.time.Duration;

/**
 * Holds the settings for running requests at an entry.
 *
 * @param zone availability zone of the entry
 * @param maxAttempts maximum number of attempts per stage, including the first
 * @param hedgeDelay delay after which a second attempt of an idempotent stage starts, near the 95th percentile of the
 *     stage's duration; zero disables hedging
 * @param retryAfter time after which a caller may retry if no more specific time is known
 * @param prefixBytes number of leading bytes of a stage input that are hashed for prefix affinity
 * @param claims settings of the claim protocol
 */
public record PipelineSettings(
        String zone, int maxAttempts, Duration hedgeDelay, Duration retryAfter, int prefixBytes, ClaimSettings claims) {

    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final int DEFAULT_PREFIX_BYTES = 512;

    /** Validates the settings. */
    public PipelineSettings {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts must be at least 1: " + maxAttempts);
        }
        if (hedgeDelay.isNegative()) {
            throw new IllegalArgumentException("hedgeDelay must not be negative: " + hedgeDelay);
        }
        if (retryAfter.isNegative() || retryAfter.isZero()) {
            throw new IllegalArgumentException("retryAfter must be positive: " + retryAfter);
        }
        if (prefixBytes < 0) {
            throw new IllegalArgumentException("prefixBytes must not be negative: " + prefixBytes);
        }
    }

    /** Returns the default settings of an entry in an availability zone; hedging is disabled. */
    public static PipelineSettings defaults(String zone) {
        return new PipelineSettings(
                zone,
                DEFAULT_MAX_ATTEMPTS,
                Duration.ZERO,
                Duration.ofSeconds(1),
                DEFAULT_PREFIX_BYTES,
                ClaimSettings.DEFAULT);
    }

    /** Returns a copy of these settings with another hedge delay. */
    public PipelineSettings withHedgeDelay(Duration delay) {
        return new PipelineSettings(zone, maxAttempts, delay, retryAfter, prefixBytes, claims);
    }

    /** Returns whether hedging is enabled. */
    boolean hedging() {
        return !hedgeDelay.isZero();
    }
}
