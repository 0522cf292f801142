package io.masticfold.agent;

/** Lifecycle phases of an agent, in order. */
enum AgentPhase {
    STARTING,
    SERVING,
    LEAVING,
    STOPPED;

    /** Returns whether the agent accepts new attempts. */
    boolean ready() {
        return this == SERVING;
    }

    /** Returns whether entries should be told that the agent no longer accepts new attempts. */
    boolean leaving() {
        return this == LEAVING || this == STOPPED;
    }
}
