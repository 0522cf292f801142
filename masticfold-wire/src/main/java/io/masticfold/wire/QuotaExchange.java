package io.masticfold.wire;

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

    /**
     * Takes what a peer reported.
     *
     * @param peer the peer
     * @param demand demand of the peer by workspace
     * @param shares shares the peer grants to this process
     * @param connectedEntries entries connected to the peer, 0 if the peer is an entry
     */
    default void received(
            WireIdentity peer, List<WorkspaceDemand> demand, List<WorkspaceShare> shares, int connectedEntries) {}

    /** Takes note that the link with a peer has ended. */
    default void lost(WireIdentity peer) {}
}
