package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Holds the target chosen for a send, or the reason why there is none.
 *
 * @param target the chosen target; null if there is none
 * @param refusal kind of the refusal if there is no target
 * @param detail description of the refusal
 * @param estimatedWait time until the request could be served; zero if unknown
 */
record TargetChoice(@Nullable TargetTracker target, ErrorKind refusal, String detail, Duration estimatedWait) {

    static TargetChoice of(TargetTracker target) {
        return new TargetChoice(target, ErrorKind.NO_TARGET, "", Duration.ZERO);
    }

    static TargetChoice none(ErrorKind refusal, String detail) {
        return none(refusal, detail, Duration.ZERO);
    }

    static TargetChoice none(ErrorKind refusal, String detail, Duration estimatedWait) {
        return new TargetChoice(null, refusal, detail, estimatedWait);
    }
}
