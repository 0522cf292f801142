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

    /** Bytes of line and headers: twice the 8 KiB that common servers take. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Bytes of a body: what the configurations of the users' sites allow. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Time for the headers; chosen, not measured: three retransmissions of TCP, and short against slow senders. */
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(3);

    /** Time without a request; chosen, not measured. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

    /** Bounds before a configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT, IDLE_TIMEOUT);

    /** Checks the ranges. */
    public RequestLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
            throw new IllegalArgumentException("limits must be positive: " + maxHeaderBytes + ", " + maxBodyBytes);
        }
    }
}
