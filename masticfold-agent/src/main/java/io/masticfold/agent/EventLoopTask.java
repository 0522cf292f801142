package io.masticfold.agent;

/** A task for the event loop that may throw a checked exception. */
@FunctionalInterface
interface EventLoopTask {

    /** Runs the task. */
    void run() throws Exception;
}
