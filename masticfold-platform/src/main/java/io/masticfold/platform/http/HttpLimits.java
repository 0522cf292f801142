package io.masticfold.platform.http;

import java.time.Duration;

/**
 * Timeouts and limits of an HTTP channel.
 *
 * @param connectTimeout timeout for establishing a connection
 * @param answerTimeout time after which a connection without a response is closed, longer than call timeouts
 * @param maxBodyBytes maximum size of a response body, in bytes
 * @param maxCalls maximum number of calls in progress
 */
public record HttpLimits(Duration connectTimeout, Duration answerTimeout, int maxBodyBytes, int maxCalls) {

    private static final int MIB = 1024 * 1024;

    /** Limits for short calls: values of the object API are at most 1 MB. */
    public static final HttpLimits CALLS = new HttpLimits(Duration.ofMillis(500), Duration.ofSeconds(10), 2 * MIB, 256);

    /** Limits for lists and long polls, which wait up to 30 s and may return all objects of a kind. */
    public static final HttpLimits WATCHES =
            new HttpLimits(Duration.ofMillis(500), Duration.ofSeconds(45), 32 * MIB, 32);
}
