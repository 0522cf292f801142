package io.masticfold.core.claim;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import org.jspecify.annotations.Nullable;

/**
 * Names the only attempt of a non-idempotent stage that may run.
 *
 * @param attempt the only attempt that may run
 * @param target name of the target the attempt is sent to
 * @param agent incarnation of the agent the attempt is addressed to
 * @param fingerprint SHA-256 of the request body, in lower-case hexadecimal digits
 * @param createdMillis wall-clock time of the first claim, in milliseconds since the epoch; used for retention only
 * @param result the stored result, null until the attempt has completed
 */
public record Claim(
        AttemptId attempt,
        String target,
        Incarnation agent,
        String fingerprint,
        long createdMillis,
        @Nullable Payload result) {

    /** Returns a copy of this claim with the result of its attempt. */
    public Claim completed(Payload newResult) {
        return new Claim(attempt, target, agent, fingerprint, createdMillis, newResult);
    }

    /** Returns a copy of this claim that names another attempt and has no result. */
    public Claim movedTo(AttemptId newAttempt, String newTarget, Incarnation newAgent) {
        return new Claim(newAttempt, newTarget, newAgent, fingerprint, createdMillis, null);
    }
}
