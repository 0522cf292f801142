package io.masticfold.core.admission;

import java.util.Locale;

/** Reasons for which a request is rejected before it is sent. */
public enum RejectReason {
    /** The work at the targets and the request's own time exceed the time left. */
    POOL_BUSY("targets would answer after the deadline"),

    /** The requests that are served before it leave too little time. */
    QUEUE_TOO_LONG("requests ahead leave too little time"),

    /** It has waited until its latest start. */
    WAITED_TOO_LONG("no target was free in time");

    private final String detail;

    RejectReason(String detail) {
        this.detail = detail;
    }

    /** Returns a description for log lines. */
    public String detail() {
        return detail;
    }

    /** Returns the name for metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
