package io.masticfold.platform.http;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Parses the {@code Retry-After} header. */
final class RetryAfterSupport {

    private static final Duration DEFAULT = Duration.ofSeconds(1);
    private static final double MAX_SECONDS = 60;
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfterSupport() {}

    /** Parses a number of seconds, limited to one minute; returns one second for an absent or malformed value. */
    static Duration parse(@Nullable String seconds) {
        if (seconds == null) {
            return DEFAULT;
        }
        try {
            double value = Double.parseDouble(seconds.trim());
            return value >= 0 ? Duration.ofMillis((long) (Math.min(value, MAX_SECONDS) * MILLIS_PER_SECOND)) : DEFAULT;
        } catch (NumberFormatException e) {
            return DEFAULT;
        }
    }
}
