package io.masticfold.core.limit;

import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;

/** Decides whether an entry admits a request. Safe for use by several threads. */
public interface RequestAdmission {

    /**
     * Decides whether to admit a request.
     *
     * @param contract contract of the caller's workspace
     * @param pipeline requested pipeline
     * @return a ticket for the request, or the reason for the refusal
     */
    AdmissionDecision admit(Contract contract, Pipeline pipeline);
}
