package io.masticfold.agent;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.limit.QuotaCoordinator;
import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.limit.WorkspaceShare;
import io.masticfold.wire.QuotaExchange;
import io.masticfold.wire.WireIdentity;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the demand reported by entries to the quota coordinator and returns the allocated shares to them. */
final class AgentQuotaExchange implements QuotaExchange {

    private final QuotaCoordinator coordinator;
    private final Map<Incarnation, List<WorkspaceShare>> shares = new ConcurrentHashMap<>();

    AgentQuotaExchange(QuotaCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    @Override
    public List<WorkspaceShare> shares(WireIdentity peer) {
        return shares.getOrDefault(peer.incarnation(), List.of());
    }

    @Override
    public void demandReceived(WireIdentity peer, List<WorkspaceDemand> demand) {
        coordinator.expire();
        shares.put(peer.incarnation(), coordinator.exchange(peer.incarnation(), demand));
    }

    @Override
    public void linkClosed(WireIdentity peer) {
        shares.remove(peer.incarnation());
    }
}
