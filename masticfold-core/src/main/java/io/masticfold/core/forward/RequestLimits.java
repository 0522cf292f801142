package io.masticfold.core.forward;

import java.time.Duration;

/**
 * Limits on the requests of a caller.
 *
 * @param maxHeaderBytes largest size of the request line and headers, in bytes
 * @param maxBodyBytes largest size of a body, in bytes
 * @param headerTimeout longest time between the first and last byte of a request
 * @param idleTimeout time after which a connection without requests is closed
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Twice the 8 KiB that common servers accept. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** The body size that the configurations of the deployment sites allow. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Long enough for three TCP retransmissions, and short enough to limit slow senders. */
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

    /** Limits that apply until a configuration has been loaded. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT, IDLE_TIMEOUT);

    /** Validates the ranges. */
    public RequestLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
            throw new IllegalArgumentException("limits must be positive: " + maxHeaderBytes + ", " + maxBodyBytes);
        }
    }
}
