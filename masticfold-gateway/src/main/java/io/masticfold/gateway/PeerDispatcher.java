package io.masticfold.gateway;

import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerListener;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.store.PeerStateExchange;

/** Dispatches peer frames to stage scheduling or to the exchange of store objects. */
final class PeerDispatcher implements PeerListener {

    private final StageDispatcher stages;
    private final PeerStateExchange knowledge;

    PeerDispatcher(StageDispatcher stages, PeerStateExchange knowledge) {
        this.stages = stages;
        this.knowledge = knowledge;
    }

    @Override
    public void responseReceived(String peer, PeerFrame frame) {
        if (frame.hasKnowledge()) {
            knowledge.handleResponse(peer, frame.getKnowledge());
        } else {
            stages.handleResponse(peer, frame);
        }
    }

    @Override
    public void connectionLost(String peer) {
        stages.peerDisconnected(peer);
    }

    @Override
    public void requestReceived(PeerCaller caller, PeerFrame frame) {
        if (frame.hasKnowledgeRequest()) {
            knowledge.handleRequest(caller, frame.getKnowledgeRequest());
        } else {
            stages.handleRequest(caller, frame);
        }
    }

    @Override
    public void callerDisconnected(PeerCaller caller) {
        stages.callerDisconnected(caller);
    }
}
