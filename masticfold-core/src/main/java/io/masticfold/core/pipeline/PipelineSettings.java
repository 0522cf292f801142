package io.masticfold.core.pipeline;

import io.masticfold.core.claim.ClaimSettings;
import java.time.Duration;

/**
 * Holds the settings of an entry's runs.
 *
 * @param zone availability zone of the entry
 * @param maxAttempts most attempts per stage, the first included
 * @param hedgeDelay time after which a second attempt of an idempotent stage starts, near the 95th percentile of the
 *     stage time; zero turns hedging off
 * @param retryAfter time after which a caller may come back when nothing better is known
 * @param prefixBytes number of leading bytes of a stage input that decide about prefix affinity
 * @param claims bounds of the claim protocol
 */
public record PipelineSettings(
        String zone, int maxAttempts, Duration hedgeDelay, Duration retryAfter, int prefixBytes, ClaimSettings claims) {

    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final int DEFAULT_PREFIX_BYTES = 512;

    /** Checks the ranges. */
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

    /** Returns the default settings of an entry in an availability zone; hedging is off. */
    public static PipelineSettings defaults(String zone) {
        return new PipelineSettings(
                zone,
                DEFAULT_MAX_ATTEMPTS,
                Duration.ZERO,
                Duration.ofSeconds(1),
                DEFAULT_PREFIX_BYTES,
                ClaimSettings.DEFAULT);
    }

    /** Returns these settings with another hedge delay. */
    public PipelineSettings withHedgeDelay(Duration delay) {
        return new PipelineSettings(zone, maxAttempts, delay, retryAfter, prefixBytes, claims);
    }

    /** Returns whether a second attempt may start beside a slow one. */
    boolean hedging() {
        return !hedgeDelay.isZero();
    }
}
