package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;

/** A connection that a peer has opened to this gateway. */
public interface PeerCaller {

    /** Sends a frame. Does nothing if the connection is closed. */
    void send(PeerFrame frame);
}
