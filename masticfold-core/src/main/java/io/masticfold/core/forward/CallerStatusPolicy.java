package io.masticfold.core.forward;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;

/**
 * Decides which HTTP status a caller may get, given what is known of the execution of its request. A status of
 * {@link RejectionStatus} is sent only if the request has not run and no send of it can run any more.
 *
 * <p>The failure of a target is forwarded unchanged where that does not break this rule. A request that may run any
 * number of times is excepted: no caller can be harmed by repeating it, and the target's own response says more than
 * one of the gateway.
 */
public final class CallerStatusPolicy {

    private CallerStatusPolicy() {}

    /**
     * Returns whether the failure that a target answered may be forwarded with its status.
     *
     * @param kind kind of the request
     * @param ran whether the request was executed in any of its sends, as far as known
     * @param status status code of the target's response
     */
    public static boolean permitForwarding(RequestKind kind, Ran ran, int status) {
        return kind.repeatable() || ran == Ran.NO || !RejectionStatus.contains(status);
    }

    /**
     * Returns the status code of an error response that the gateway generates.
     *
     * @param kind kind of the error
     * @param ran whether the request was executed in any of its sends, as far as known
     */
    public static int status(ErrorKind kind, Ran ran) {
        if (ran == Ran.NO) {
            return kind == ErrorKind.STAGE_TIMEOUT ? RejectionStatus.SERVICE_UNAVAILABLE.code() : kind.httpStatus();
        }
        return RejectionStatus.contains(kind.httpStatus()) ? ErrorKind.OUTCOME_UNKNOWN.httpStatus() : kind.httpStatus();
    }
}
