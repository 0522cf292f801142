package io.masticfold.wire;

import io.masticfold.core.attempt.TargetLoad;

/** Supplies what the heartbeats of an agent report. Safe for use by several threads. */
public interface AgentState {

    /** Returns the load of the target. */
    TargetLoad load();

    /** Returns whether the agent is leaving and takes no new work. */
    boolean leaving();
}
