package io.masticfold.core.limit;

import io.masticfold.core.error.ErrorKind;
import java.time.Duration;

/** Answers whether a request is taken at the entry. */
public sealed interface AdmissionDecision permits AdmissionDecision.Admitted, AdmissionDecision.Denied {

    /**
     * Takes the request.
     *
     * @param ticket held until the request has its answer
     */
    record Admitted(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * Refuses the request; nothing was run.
     *
     * @param kind reason of the refusal
     * @param retryAfter time after which the caller may come back
     */
    record Denied(ErrorKind kind, Duration retryAfter) implements AdmissionDecision {}
}
