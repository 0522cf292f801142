package io.masticfold.core.link;

import org.jspecify.annotations.Nullable;

/** Finds the links of an entry. Safe for use by several threads. */
public interface AgentLinks {

    /**
     * Finds the link to the agent of a target.
     *
     * @param target name of the target
     * @return the link, usable or not, or null if the entry has none
     */
    @Nullable
    AgentLink link(String target);
}
