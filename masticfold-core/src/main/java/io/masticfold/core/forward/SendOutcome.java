package io.masticfold.core.forward;

import io.masticfold.core.error.Ran;

/** States what became of one send of a request to a target. */
public enum SendOutcome {
    /** The target's answer was passed on whole. */
    ANSWERED(Ran.YES),
    /** No byte of the request left the process. */
    NOT_SENT(Ran.NO),
    /** The target stated that it did not run the request. */
    NOT_RUN(Ran.NO),
    /** The target stated that a stage result which the request reads no longer exists. */
    INPUT_GONE(Ran.NO),
    /** The target answered with a failure of its own. */
    FAILED(Ran.YES),
    /** The request was sent and no valid answer came back. */
    UNKNOWN(Ran.UNKNOWN);

    private final Ran ran;

    SendOutcome(Ran ran) {
        this.ran = ran;
    }

    /** Returns what the outcome says about the execution. */
    public Ran ran() {
        return ran;
    }
}
