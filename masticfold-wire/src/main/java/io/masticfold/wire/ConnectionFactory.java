package io.masticfold.wire;

/** Creates the channel handler that takes over a connection after the handshake. */
@FunctionalInterface
interface ConnectionFactory {

    /** Creates the handler for an authenticated peer. */
    AbstractConnection create(Peer peer);
}
