package io.masticfold.core.forward;

/**
 * Tells what a target's response says about the execution of the request that it answers.
 *
 * @param status status code of the response
 * @param notExecuted whether the response states that the target did not run the request
 * @param own whether the response can belong to this request only
 * @param authentic whether the response bears the target's seal and echoes the id of this attempt
 */
public record ResponseEvidence(int status, boolean notExecuted, boolean own, boolean authentic) {

    private static final int OK = 200;
    private static final int REDIRECTION = 300;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    /** Returns whether the status is a success (2xx). */
    public boolean success() {
        return status >= OK && status < REDIRECTION;
    }

    /**
     * Returns the outcome of the send. A response that states that the request did not run and bears a status of one
     * that did contradicts itself: it is unknown whether the request ran.
     */
    public SendOutcome outcome() {
        if (own && rejects()) {
            return status == CONFLICT ? SendOutcome.INPUT_GONE : SendOutcome.NOT_RUN;
        }
        if (!authentic || notExecuted) {
            return SendOutcome.UNKNOWN;
        }
        return success() ? SendOutcome.ANSWERED : SendOutcome.FAILED;
    }

    private boolean rejects() {
        return status == RejectionStatus.MISDIRECTED_REQUEST.code() || (notExecuted && status >= BAD_REQUEST);
    }
}
