package io.masticfold.agent;

/** Represents a task of the event loop that may fail. */
@FunctionalInterface
interface LoopTask {

    /** Runs the task. */
    void run() throws Exception;
}
