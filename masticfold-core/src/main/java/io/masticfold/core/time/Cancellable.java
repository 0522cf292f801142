package io.masticfold.core.time;

/** Represents a scheduled task or call that can be cancelled. */
@FunctionalInterface
public interface Cancellable {

    /** An instance for which cancellation has no effect. */
    Cancellable NONE = () -> {};

    /** Cancels the task if it has not started; has no effect otherwise. */
    void cancel();
}
