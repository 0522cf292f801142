package io.masticfold.core.limit;

import io.masticfold.core.error.ErrorKind;
import java.time.Duration;

/** The decision whether an entry admits a request. */
public sealed interface AdmissionDecision permits AdmissionDecision.Admitted, AdmissionDecision.Denied {

    /**
     * The request is admitted.
     *
     * @param ticket held until the request has been answered
     */
    record Admitted(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * The request is refused before any part of it has run.
     *
     * @param kind reason for the refusal
     * @param retryAfter time after which the caller may retry
     */
    record Denied(ErrorKind kind, Duration retryAfter) implements AdmissionDecision {}
}
