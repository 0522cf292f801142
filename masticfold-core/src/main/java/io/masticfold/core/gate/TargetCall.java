package io.masticfold.core.gate;

/** Handle of a call in progress at a target. */
public interface TargetCall {

    /** Cancels the call at the target. */
    void cancel();

    /** Adds flow-control credit: allows the call to deliver this many more bytes of a streaming result. */
    void grant(int bytes);
}
