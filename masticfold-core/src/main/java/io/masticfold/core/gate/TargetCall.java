package io.masticfold.core.gate;

/** Represents a call to a target in progress. */
public interface TargetCall {

    /** Cancels the call at the target. */
    void cancel();

    /** Allows the call to deliver more bytes of a streaming result. */
    void grant(int bytes);
}
