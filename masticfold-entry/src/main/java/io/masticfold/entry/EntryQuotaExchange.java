package io.masticfold.entry;

import io.masticfold.core.limit.QuotaClient;
import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.limit.WorkspaceShare;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.wire.QuotaExchange;
import io.masticfold.wire.WireIdentity;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Exchanges workspace quota over the heartbeats of an entry's links: reports the demand of each workspace to the agent
 * that coordinates its quota and applies the shares returned by that agent.
 */
final class EntryQuotaExchange implements QuotaExchange {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

    private final QuotaClient client;
    private final Map<String, Integer> entryCountByAgent = new ConcurrentHashMap<>();
    private volatile Map<String, List<WorkspaceDemand>> demandByAgent = Map.of();
    private volatile Cancellable nextReport = Cancellable.NONE;

    EntryQuotaExchange(QuotaClient client) {
        this.client = client;
    }

    /** Collects the demand now and then at every report interval. */
    void start(Scheduler scheduler) {
        demandByAgent = client.collectDemands(entryCountByAgent.keySet());
        nextReport = scheduler.schedule(REPORT_INTERVAL, () -> start(scheduler));
    }

    void stop() {
        nextReport.cancel();
    }

    @Override
    public List<WorkspaceDemand> demand(WireIdentity peer) {
        return demandByAgent.getOrDefault(peer.process(), List.of());
    }

    @Override
    public void sharesReceived(WireIdentity peer, List<WorkspaceShare> shares, int connectedEntries) {
        entryCountByAgent.put(peer.process(), connectedEntries);
        int entries = entryCountByAgent.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(1);
        client.setEntryCount(entries);
        client.applyShares(shares);
    }

    @Override
    public void linkClosed(WireIdentity peer) {
        entryCountByAgent.remove(peer.process());
    }
}
