package io.masticfold.core.limit;

import io.masticfold.core.error.ErrorKind;

/** Holds the place of an admitted request; ended exactly once. */
public interface AdmissionTicket {

    /** Ends the request with a whole answer. */
    void completed();

    /** Ends the request with an error, which feeds load shedding. */
    void failed(ErrorKind kind);
}
