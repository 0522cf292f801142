package io.masticfold.gateway.http;

import java.util.Locale;

/** Reasons for refusing a request before it is routed, each with its HTTP status. */
public enum BadRequestReason {
    MALFORMED(400),
    CONFLICTING_LENGTH(400),
    MISSING_HOST(400),
    HEADER_TOO_LARGE(431),
    BODY_TOO_LARGE(413),
    HEADER_TOO_SLOW(408),
    TOO_MANY_PIPELINED(400);

    private final int status;

    BadRequestReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns the name used in response bodies and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
