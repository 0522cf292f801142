package io.masticfold.agent;

/** A task for the event loop that may throw a checked exception. */
@FunctionalInterface
interface LoopTask {

    /** Runs the task. */
    void run() throws Exception;
}
