package io.masticfold.wire;

import io.masticfold.core.attempt.TargetLoad;

/** Supplies the state that an agent reports in its heartbeats. Implementations must be thread-safe. */
public interface AgentState {

    /** Returns the current load of the target. */
    TargetLoad load();

    /** Returns whether the agent is shutting down and accepts no new attempts. */
    boolean leaving();
}
