package io.masticfold.core.forward;

import java.util.Set;

/**
 * Describes a workspace that owns keys.
 *
 * @param name name that targets are told
 * @param keys secrets that callers present
 * @param priority rank that replaces the route's; negative if the workspace has none of its own
 */
public record WorkspaceSpec(String name, Set<String> keys, int priority) {

    /** Priority of a workspace that leaves the rank to the route. */
    public static final int NO_PRIORITY = -1;

    /** Copies the set. */
    public WorkspaceSpec {
        keys = Set.copyOf(keys);
    }
}
