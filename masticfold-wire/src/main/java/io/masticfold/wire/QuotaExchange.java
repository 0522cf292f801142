package io.masticfold.wire;

import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.limit.WorkspaceShare;
import java.util.List;

/**
 * Supplies and receives the quota fields of heartbeats. Called on the Netty loops, once per heartbeat and link;
 * implementations must not block.
 */
public interface QuotaExchange {

    /** Exchanges nothing. */
    QuotaExchange NONE = new QuotaExchange() {};

    /** Returns the demand to report to a peer. */
    default List<WorkspaceDemand> demand(WireIdentity peer) {
        return List.of();
    }

    /** Returns the shares to grant to a peer. */
    default List<WorkspaceShare> shares(WireIdentity peer) {
        return List.of();
    }

    /** Takes the demand an entry reports, by workspace. */
    default void demanded(WireIdentity peer, List<WorkspaceDemand> demand) {}

    /**
     * Takes the shares an agent grants.
     *
     * @param peer the agent
     * @param shares shares of this process, by workspace
     * @param connectedEntries entries connected to the agent
     */
    default void granted(WireIdentity peer, List<WorkspaceShare> shares, int connectedEntries) {}

    /** Takes note that the link with a peer has ended. */
    default void lost(WireIdentity peer) {}
}
