package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;

/** Represents a peer that has opened a connection to this gateway. */
public interface PeerCaller {

    /** Sends a frame; has no effect once the connection is lost. */
    void send(PeerFrame frame);
}
