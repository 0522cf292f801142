package io.masticfold.gateway.request;

import io.masticfold.core.forward.SendOutcome;
import io.masticfold.gateway.http.ExchangeFailure;
import org.jspecify.annotations.Nullable;

/**
 * Holds the result of one send of a request to a target.
 *
 * @param outcome outcome of the send
 * @param detail description for the log
 * @param response response of the target that can be forwarded; null if there is none
 * @param failure how the exchange failed; null if the target responded
 */
record SendResult(
        SendOutcome outcome, String detail, @Nullable TargetResponse response, @Nullable ExchangeFailure failure) {

    static SendResult of(SendOutcome outcome, String detail) {
        return new SendResult(outcome, detail, null, null);
    }

    static SendResult failed(ExchangeFailure failure, String detail) {
        SendOutcome outcome = failure == ExchangeFailure.NOT_SENT ? SendOutcome.NOT_SENT : SendOutcome.UNKNOWN;
        return new SendResult(outcome, detail, null, failure);
    }

    /** Returns whether the target closed the connection before the response was complete. */
    boolean brokenOff() {
        return failure == ExchangeFailure.CLOSED;
    }
}
