package io.masticfold.wire;

/**
 * Authenticated process at the other end of a connection.
 *
 * @param identity identity authenticated by the handshake
 * @param roundTripNanos time from sending the proof to receiving the peer's, 0 on the agent, which does not measure it
 */
record Peer(WireIdentity identity, long roundTripNanos) {}
