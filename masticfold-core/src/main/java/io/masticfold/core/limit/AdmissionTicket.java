package io.masticfold.core.limit;

import io.masticfold.core.error.ErrorKind;

/** Holds the in-flight slot of an admitted request. Exactly one of the methods is called, once. */
public interface AdmissionTicket {

    /** Ends a request that was answered completely. */
    void completed();

    /** Ends a request that failed. */
    void failed(ErrorKind kind);
}
