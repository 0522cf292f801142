package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;

/** Receives what happens on the connections between gateways, on the event loop. */
public interface PeerListener {

    /** A peer that this gateway is connected to sent a frame. */
    void answered(String peer, PeerFrame frame);

    /** The connection to a peer is lost; what was sent to it may not arrive. */
    void lost(String peer);

    /** A peer that opened a connection sent a frame; answers go to the same connection. */
    void asked(PeerCaller caller, PeerFrame frame);

    /** A peer that opened a connection is gone. */
    void callerGone(PeerCaller caller);
}
