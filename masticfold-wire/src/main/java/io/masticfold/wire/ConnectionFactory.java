package io.masticfold.wire;

/** Creates the handler of a connection once the handshake is complete. */
@FunctionalInterface
interface ConnectionFactory {

    /** Creates the handler for an authenticated peer. */
    AbstractConnection create(Peer peer);
}
