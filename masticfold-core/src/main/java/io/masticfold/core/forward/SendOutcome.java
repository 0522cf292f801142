package io.masticfold.core.forward;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/** Outcome of one send of a request to a target. */
public enum SendOutcome {
    /** The complete answer of the target was forwarded. */
    ANSWERED(Ran.YES, ErrorKind.OUTCOME_UNKNOWN),
    /** No byte of the request left the process. */
    NOT_SENT(Ran.NO, ErrorKind.TARGET_UNREACHABLE),
    /** The target reported that it did not run the request. */
    NOT_RUN(Ran.NO, ErrorKind.OVERLOADED),
    /** The target reported that a stage result that the request reads no longer exists. */
    INPUT_GONE(Ran.NO, ErrorKind.OVERLOADED),
    /** The target answered with an error. */
    FAILED(Ran.YES, ErrorKind.TARGET_FAILED),
    /** The request was sent, but no valid answer was received. */
    UNKNOWN(Ran.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN);

    private final Ran ran;
    private final ErrorKind failure;

    SendOutcome(Ran ran, ErrorKind failure) {
        this.ran = ran;
        this.failure = failure;
    }

    /** Returns the kind of error that is reported to the caller if the request is not sent again. */
    public ErrorKind failure() {
        return failure;
    }

    /** Returns whether the target ran the request. */
    public Ran ran() {
        return ran;
    }
}
