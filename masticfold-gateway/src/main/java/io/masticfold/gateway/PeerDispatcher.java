package io.masticfold.gateway;

import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerListener;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.store.PeerStateExchange;
import io.masticfold.gateway.store.PlatformWatcher;

/** Dispatches peer frames to stage scheduling, to the exchange of store objects and to the sharing of reads. */
final class PeerDispatcher implements PeerListener {

    private final StageDispatcher stageDispatcher;
    private final PeerStateExchange peerStateExchange;
    private final PlatformWatcher platformWatcher;

    PeerDispatcher(
            StageDispatcher stageDispatcher, PeerStateExchange peerStateExchange, PlatformWatcher platformWatcher) {
        this.stageDispatcher = stageDispatcher;
        this.peerStateExchange = peerStateExchange;
        this.platformWatcher = platformWatcher;
    }

    @Override
    public void responseReceived(String peer, PeerFrame frame) {
        if (frame.hasKnowledge()) {
            peerStateExchange.handleResponse(peer, frame.getKnowledge());
        } else {
            if (frame.hasStatus()) {
                peerStateExchange.handleStatus(peer, frame.getStatus());
                platformWatcher.handleStatus(peer, frame.getStatus());
            }
            stageDispatcher.handleResponse(peer, frame);
        }
    }

    @Override
    public void connectionLost(String peer) {
        stageDispatcher.peerDisconnected(peer);
        platformWatcher.peerDisconnected(peer);
    }

    @Override
    public void requestReceived(PeerCaller caller, PeerFrame frame) {
        if (frame.hasKnowledgeRequest()) {
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
