package io.masticfold.core.link;

import org.jspecify.annotations.Nullable;

/** Provides the agent links of an entry. Implementations are thread-safe. */
public interface AgentLinks {

    /**
     * Finds the link to the agent of a target.
     *
     * @param target name of the target
     * @return the link, whether usable or not, or null if there is none
     */
    @Nullable
    AgentLink link(String target);
}
