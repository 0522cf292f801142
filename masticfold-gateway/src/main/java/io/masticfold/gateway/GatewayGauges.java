package io.masticfold.gateway;

import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.quarantine.SuspectKind;
import io.masticfold.gateway.http.HttpClient;
import io.masticfold.gateway.http.HttpServer;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.load.TargetLoads;
import io.masticfold.gateway.log.GatewayMetrics;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.quarantine.PoisonQuarantine;
import io.masticfold.gateway.request.TargetAdmission;
import io.masticfold.gateway.rollout.Rollouts;
import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.store.PlatformView;
import io.masticfold.gateway.store.PlatformWatcher;

/** Gauges of the metrics page, and what each of them reads. */
record GatewayGauges(
        PlatformView view,
        PeerLinks peers,
        PoisonQuarantine quarantine,
        TargetRateLimits limits,
        TargetLoads loads,
        Rollouts rollouts,
        PlatformWatcher platformWatcher,
        StageAdmissionQueue admissionQueue,
        TargetAdmission targetAdmission,
        HttpServer front,
        HttpClient client,
        MemoryAccount account) {

    void register(GatewayMetrics meters) {
        meters.gauge("masticfold.targets.known", () -> view.directory().size());
        meters.gauge("masticfold.peers.reachable", () -> peers.reachable().size());
        meters.gauge("masticfold.prompt.parts.quarantined", () -> quarantine.quarantined(SuspectKind.PROMPT_PART));
        meters.gauge("masticfold.requests.quarantined", () -> quarantine.quarantined(SuspectKind.REQUEST));
        meters.gauge("masticfold.requests.waiting", admissionQueue::waiting);
        meters.gauge("masticfold.requests.awaiting.target", targetAdmission::waiting);
        meters.gauge("masticfold.callers.connections", front::connections);
        meters.gauge("masticfold.connections.opened", client::opened);
        meters.gauge("masticfold.servers.held.back", client.readShares()::heldBackServers);
        meters.gauge("masticfold.callers.held.back", client.readShares()::heldBackCallers);
        meters.gauge("masticfold.memory.held.bytes", account::inUseBytes);
        meters.gauge("masticfold.memory.limit.bytes", account::limitBytes);
        meters.gauge("masticfold.memory.holders", account::holders);
        meters.gauge("masticfold.memory.errors", account::errors);
        meters.gauge("masticfold.targets.limited", limits::limitedTargets);
        meters.gauge("masticfold.pools.paced", loads::pacedPools);
        meters.gauge("masticfold.rollouts.running", rollouts::running);
        meters.gauge("masticfold.store.reachable", () -> platformWatcher.storeReachable() ? 1 : 0);
        meters.gauge("masticfold.configuration.version", view::configVersion);
    }
}
