package io.masticfold.gateway;

import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerListener;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.store.PeerStateExchange;

/** Dispatches peer frames to stage scheduling or to the exchange of store objects. */
final class PeerDispatcher implements PeerListener {

    private final StageDispatcher stageDispatcher;
    private final PeerStateExchange peerStateExchange;

    PeerDispatcher(StageDispatcher stageDispatcher, PeerStateExchange peerStateExchange) {
        this.stageDispatcher = stageDispatcher;
        this.peerStateExchange = peerStateExchange;
    }

    @Override
    public void responseReceived(String peer, PeerFrame frame) {
        if (frame.hasKnowledge()) {
            peerStateExchange.handleResponse(peer, frame.getKnowledge());
        } else {
            if (frame.hasStatus()) {
                peerStateExchange.handleStatus(peer, frame.getStatus());
            }
            stageDispatcher.handleResponse(peer, frame);
        }
    }

    @Override
    public void connectionLost(String peer) {
        stageDispatcher.peerDisconnected(peer);
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
