package io.masticfold.wire;

/**
 * Describes the authenticated process at the other end of a connection.
 *
 * @param identity identity the peer has proved
 * @param roundTripNanos time from a proof to the proof of the peer, in nanoseconds, 0 if not measured on this side
 */
record Peer(WireIdentity identity, long roundTripNanos) {}
