package io.masticfold.core.forward;

import java.util.Set;

/**
 * Describes a workspace and its API keys.
 *
 * @param name name of the workspace, which is forwarded to targets; not blank
 * @param keys API keys by which callers authenticate; none of them blank
 * @param priority priority that overrides the one of the route; negative if the workspace has none
 */
public record WorkspaceSpec(String name, Set<String> keys, int priority) {

    /** Priority of a workspace that uses the priority of the route. */
    public static final int NO_PRIORITY = -1;

    /**
     * Copies the set and validates the values.
     *
     * @throws IllegalArgumentException if the name or a key is blank
     */
    public WorkspaceSpec {
        if (name.isBlank()) {
            throw new IllegalArgumentException("name of a workspace must not be blank");
        }
        if (keys.stream().anyMatch(String::isBlank)) {
            throw new IllegalArgumentException("API keys of workspace " + name + " must not be blank");
        }
        keys = Set.copyOf(keys);
    }
}
