package io.masticfold.gateway.request;

import io.masticfold.core.forward.SendOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds the result of one send of a request to a target.
 *
 * @param outcome outcome of the send
 * @param detail description for the log
 * @param response response of the target that can be forwarded; null if there is none
 */
record SendResult(SendOutcome outcome, String detail, @Nullable TargetResponse response) {

    static SendResult of(SendOutcome outcome, String detail) {
        return new SendResult(outcome, detail, null);
    }
}
