package io.masticfold.gateway.request;

import io.masticfold.core.forward.SendOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Holds the end of one send.
 *
 * @param outcome what became of the request
 * @param detail what happened, for the log
 * @param answer answer of the target that can be passed on, if there is one
 */
record SendResult(SendOutcome outcome, String detail, @Nullable TargetAnswer answer) {

    static SendResult of(SendOutcome outcome, String detail) {
        return new SendResult(outcome, detail, null);
    }
}
