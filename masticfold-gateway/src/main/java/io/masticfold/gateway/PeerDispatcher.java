package io.masticfold.gateway;

import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerListener;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.stage.StagePools;

/** Passes the frames of peers to the parts that they concern. */
final class PeerDispatcher implements PeerListener {

    private final StagePools stages;

    PeerDispatcher(StagePools stages) {
        this.stages = stages;
    }

    @Override
    public void answered(String _peer, PeerFrame frame) {
        stages.answered(frame);
    }

    @Override
    public void lost(String peer) {
        stages.lost(peer);
    }

    @Override
    public void asked(PeerCaller caller, PeerFrame frame) {
        stages.asked(caller, frame);
    }

    @Override
    public void callerGone(PeerCaller caller) {
        stages.callerGone(caller);
    }
}
