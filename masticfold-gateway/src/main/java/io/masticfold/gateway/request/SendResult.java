package io.masticfold.gateway.request;

import io.masticfold.core.forward.SendOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds the result of one send of a request to a target.
 *
 * @param outcome outcome of the send
 * @param detail description for the log
 * @param response response of the target that can be forwarded; null if there is none
 * @param brokenOff whether the target closed the connection before the response was complete
 */
record SendResult(SendOutcome outcome, String detail, @Nullable TargetResponse response, boolean brokenOff) {

    static SendResult of(SendOutcome outcome, String detail) {
        return new SendResult(outcome, detail, null, false);
    }

    static SendResult brokenOff(String detail) {
        return new SendResult(SendOutcome.UNKNOWN, detail, null, true);
    }
}
