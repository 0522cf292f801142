package io.masticfold.wire;

import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.limit.WorkspaceShare;
import java.util.List;

/**
 * Supplies and receives the quota fields of heartbeats. Called on Netty event loops, once per heartbeat and link;
 * implementations must not block.
 */
public interface QuotaExchange {

    /** Sends no quota fields and ignores those received. */
    QuotaExchange NONE = new QuotaExchange() {};

    /** Returns the demand per workspace to report to a peer. */
    default List<WorkspaceDemand> demand(WireIdentity peer) {
        return List.of();
    }

    /** Returns the quota shares per workspace to grant to a peer. */
    default List<WorkspaceShare> shares(WireIdentity peer) {
        return List.of();
    }

    /** Called with the demand per workspace reported by an entry. */
    default void demandReceived(WireIdentity peer, List<WorkspaceDemand> demand) {}

    /**
     * Called with the quota shares granted by an agent.
     *
     * @param peer the agent
     * @param shares shares of this process per workspace
     * @param connectedEntries number of entries connected to the agent
     */
    default void sharesReceived(WireIdentity peer, List<WorkspaceShare> shares, int connectedEntries) {}

    /** Called when the link with a peer is closed. */
    default void linkClosed(WireIdentity peer) {}
}
