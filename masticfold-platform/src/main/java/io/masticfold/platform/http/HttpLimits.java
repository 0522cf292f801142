package io.masticfold.platform.http;

import java.time.Duration;

/**
 * Bounds what an HTTP channel holds.
 *
 * @param connectTimeout longest wait for a connection
 * @param answerTimeout longest time a connection stays open without an answer, beyond the timeouts of its callers
 * @param maxBodyBytes largest answer body, in bytes
 * @param maxCalls most calls in progress
 */
public record HttpLimits(Duration connectTimeout, Duration answerTimeout, int maxBodyBytes, int maxCalls) {

    private static final int MIB = 1024 * 1024;

    /** Limits for short calls: values of the object API are at most 1 MB. */
    public static final HttpLimits CALLS = new HttpLimits(Duration.ofMillis(500), Duration.ofSeconds(10), 2 * MIB, 256);

    /** Limits for lists and long polls, which wait up to 30 s and may return all objects of a kind. */
    public static final HttpLimits WATCHES =
            new HttpLimits(Duration.ofMillis(500), Duration.ofSeconds(45), 32 * MIB, 32);
}
