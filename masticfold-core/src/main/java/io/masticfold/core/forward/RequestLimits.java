package io.masticfold.core.forward;

import java.time.Duration;

/**
 * Bounds what a caller may send.
 *
 * @param maxHeaderBytes most bytes of the request line and the headers
 * @param maxBodyBytes most bytes of a body
 * @param headerTimeout longest time from the first byte of a request to its last
 * @param idleTimeout time after which a connection without a request is closed
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Bounds before a configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the ranges. */
    public RequestLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
            throw new IllegalArgumentException("limits must be positive: " + maxHeaderBytes + ", " + maxBodyBytes);
        }
    }
}
