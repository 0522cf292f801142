package io.masticfold.gateway;

import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.load.TargetLoads;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerListener;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.quarantine.PoisonQuarantine;
import io.masticfold.gateway.resume.StreamVersionRegistry;
import io.masticfold.gateway.rollout.Rollouts;
import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.store.PeerStateExchange;
import io.masticfold.gateway.store.PlatformWatcher;

/** Dispatches peer frames to the parts of the gateway that exchange them. */
final class PeerDispatcher implements PeerListener {

    private final StageDispatcher stageDispatcher;
    private final PeerStateExchange peerStateExchange;
    private final PlatformWatcher platformWatcher;
    private final PoisonQuarantine quarantine;
    private final StreamVersionRegistry versions;
    private final TargetRateLimits limits;
    private final TargetLoads loads;
    private final Rollouts rollouts;
    private final RateLimitedLog log;

    PeerDispatcher(
            StageDispatcher stageDispatcher,
            PeerStateExchange peerStateExchange,
            PlatformWatcher platformWatcher,
            PoisonQuarantine quarantine,
            StreamVersionRegistry versions,
            TargetRateLimits limits,
            TargetLoads loads,
            Rollouts rollouts,
            RateLimitedLog log) {
        this.stageDispatcher = stageDispatcher;
        this.peerStateExchange = peerStateExchange;
        this.platformWatcher = platformWatcher;
        this.quarantine = quarantine;
        this.versions = versions;
        this.limits = limits;
        this.loads = loads;
        this.rollouts = rollouts;
        this.log = log;
    }

    @Override
    public void responseReceived(String peer, PeerFrame frame) {
        if (frame.hasPoisonEvidence()) {
            quarantine.handle(peer, frame.getPoisonEvidence());
        } else if (frame.hasStreamVersions()) {
            versions.handle(peer, frame.getStreamVersions());
        } else if (frame.hasNamedLimits()) {
            limits.handle(peer, frame.getNamedLimits());
        } else if (frame.hasRolloutStatus()) {
            rollouts.handle(peer, frame.getRolloutStatus());
        } else if (frame.hasKnowledge()) {
            peerStateExchange.handleResponse(peer, frame.getKnowledge());
        } else {
            if (frame.hasStatus()) {
                peerStateExchange.handleStatus(peer, frame.getStatus());
                platformWatcher.handleStatus(peer, frame.getStatus());
                loads.handle(peer, frame.getStatus());
            }
            stageDispatcher.handleResponse(peer, frame);
        }
    }

    @Override
    public void peerMismatch(String peer, String found) {
        log.important(GatewayEvent.PEER_MISMATCH)
                .addKeyValue("peer", peer)
                .addKeyValue("found", found)
                .log();
    }

    @Override
    public void connectionLost(String peer) {
        stageDispatcher.peerDisconnected(peer);
        platformWatcher.peerDisconnected(peer);
        loads.peerDisconnected(peer);
        rollouts.peerDisconnected(peer);
    }

    @Override
    public void requestReceived(PeerCaller caller, PeerFrame frame) {
        if (frame.hasHello()) {
            quarantine.greet(caller);
            versions.greet(caller);
            limits.greet(caller);
            loads.peerConnected();
            rollouts.greet(caller);
        } else if (frame.hasKnowledgeRequest()) {
            peerStateExchange.handleRequest(caller, frame.getKnowledgeRequest());
        } else {
            stageDispatcher.handleRequest(caller, frame);
        }
    }

    @Override
    public void callerDisconnected(PeerCaller caller) {
        stageDispatcher.callerDisconnected(caller);
    }
}
