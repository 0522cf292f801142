package io.masticfold.core.admission;

import java.time.Duration;

/** Outcome of the decision on one request. */
public sealed interface AdmissionVerdict {

    /** The request is sent now. */
    record Send() implements AdmissionVerdict {}

    /**
     * The request waits.
     *
     * @param longest longest time for which it waits before it is rejected
     */
    record Wait(Duration longest) implements AdmissionVerdict {}

    /**
     * The request is rejected.
     *
     * @param reason why it cannot be served
     * @param retryAfter time after which its caller may come back, with jitter; positive
     */
    record Reject(RejectReason reason, Duration retryAfter) implements AdmissionVerdict {}
}
