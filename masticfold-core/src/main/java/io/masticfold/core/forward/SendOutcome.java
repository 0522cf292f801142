package io.masticfold.core.forward;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/** States what became of one send of a request to a target. */
public enum SendOutcome {
    /** The target's answer was passed on whole. */
    ANSWERED(Ran.YES, ErrorKind.OUTCOME_UNKNOWN),
    /** No byte of the request left the process. */
    NOT_SENT(Ran.NO, ErrorKind.TARGET_UNREACHABLE),
    /** The target stated that it did not run the request. */
    NOT_RUN(Ran.NO, ErrorKind.OVERLOADED),
    /** The target stated that a stage result which the request reads no longer exists. */
    INPUT_GONE(Ran.NO, ErrorKind.OVERLOADED),
    /** The target answered with a failure of its own. */
    FAILED(Ran.YES, ErrorKind.TARGET_FAILED),
    /** The request was sent and no valid answer came back. */
    UNKNOWN(Ran.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN);

    private final Ran ran;
    private final ErrorKind failure;

    SendOutcome(Ran ran, ErrorKind failure) {
        this.ran = ran;
        this.failure = failure;
    }

    /** Returns the kind of error that the caller is told if nothing further is tried. */
    public ErrorKind failure() {
        return failure;
    }

    /** Returns what the outcome says about the execution. */
    public Ran ran() {
        return ran;
    }
}
