package io.masticfold.gateway.peer;

import io.masticfold.gateway.peer.proto.PeerFrame;

/** Receives frames and connection losses from peers. Called on the event loop. */
public interface PeerListener {

    /** Called when a frame arrives on a connection that this gateway opened. */
    void responseReceived(String peer, PeerFrame frame);

    /**
     * Called when the address of a peer is answered by another gateway; the connection is closed.
     *
     * @param found name of the gateway that answered
     */
    void peerMismatch(String peer, String found);

    /** Called when the connection to a peer is lost; frames sent before may not have arrived. */
    void connectionLost(String peer);

    /** Called when a frame arrives on a connection that a peer opened; responses go to the same connection. */
    void requestReceived(PeerCaller caller, PeerFrame frame);

    /** Called when a connection that a peer opened is closed. */
    void callerDisconnected(PeerCaller caller);
}
