package io.masticfold.core.forward;

/** Whether the answer to a forwarded request is streamed, and whether the request may run more than once. */
public enum RequestKind {
    /** A plain answer; the request may run any number of times. */
    SAFE(true, false),
    /** A plain answer; the request runs at most once. */
    UNSAFE(false, false),
    /** A stream of events; the request runs at most once. */
    STREAM(false, true),
    /** A stream of events that another target can resume after the last event that was forwarded. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean streaming;

    RequestKind(boolean repeatable, boolean streaming) {
        this.repeatable = repeatable;
        this.streaming = streaming;
    }

    /** Returns whether a request that may have run may be sent to another target. */
    public boolean repeatable() {
        return repeatable;
    }

    /** Returns whether the answer is forwarded while it is produced. */
    public boolean streaming() {
        return streaming;
    }
}
