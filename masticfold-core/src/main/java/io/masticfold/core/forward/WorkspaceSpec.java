package io.masticfold.core.forward;

import java.util.Set;

/**
 * Describes a workspace and its API keys.
 *
 * @param name name of the workspace, which is forwarded to targets
 * @param keys API keys by which callers authenticate
 * @param priority priority that overrides the one of the route; negative if the workspace has none
 */
public record WorkspaceSpec(String name, Set<String> keys, int priority) {

    /** Priority of a workspace that uses the priority of the route. */
    public static final int NO_PRIORITY = -1;

    /** Copies the set. */
    public WorkspaceSpec {
        keys = Set.copyOf(keys);
    }
}
