package io.masticfold.core.time;

/** Represents a scheduled task or call that can be cancelled. */
@FunctionalInterface
public interface Cancellable {

    /** Does nothing when cancelled. */
    Cancellable NONE = () -> {};

    /** Cancels the task if it has not started; has no effect otherwise. */
    void cancel();
}
