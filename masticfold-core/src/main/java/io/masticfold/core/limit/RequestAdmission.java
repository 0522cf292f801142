package io.masticfold.core.limit;

import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;

/** Decides at the entry whether a request is taken. Safe for use by several threads. */
public interface RequestAdmission {

    /**
     * Decides about a request.
     *
     * @param contract contract of the caller's workspace
     * @param pipeline pipeline the caller asks for
     * @return a ticket for the request, or the reason of the refusal
     */
    AdmissionDecision admit(Contract contract, Pipeline pipeline);
}
