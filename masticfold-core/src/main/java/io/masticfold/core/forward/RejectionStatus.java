package io.masticfold.core.forward;

import java.util.Arrays;

/**
 * HTTP statuses that promise a caller that its request has not run and never will, so that the caller may repeat it
 * whatever its kind.
 */
public enum RejectionStatus {
    REQUEST_TIMEOUT(408),
    MISDIRECTED_REQUEST(421),
    TOO_MANY_REQUESTS(429),
    SERVICE_UNAVAILABLE(503);

    private final int code;

    RejectionStatus(int code) {
        this.code = code;
    }

    /** Returns the status code. */
    public int code() {
        return code;
    }

    /** Returns whether a status code is one of these. */
    public static boolean contains(int status) {
        return Arrays.stream(values()).anyMatch(rejection -> rejection.code == status);
    }
}
