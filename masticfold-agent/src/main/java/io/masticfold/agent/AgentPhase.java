package io.masticfold.agent;

/** Lists the phases of an agent's life. */
enum AgentPhase {
    STARTING,
    SERVING,
    LEAVING,
    STOPPED;

    /** Returns whether new work is taken. */
    boolean ready() {
        return this == SERVING;
    }

    /** Returns whether entries should be told that no new work is taken. */
    boolean leaving() {
        return this == LEAVING || this == STOPPED;
    }
}
