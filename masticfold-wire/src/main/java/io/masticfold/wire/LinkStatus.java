package io.masticfold.wire;

import io.masticfold.core.attempt.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Reports the state of a link.
 *
 * @param target target served by the agent, or the name of the process on the agent's side
 * @param usable whether new work may be sent
 * @param leaving whether the agent has announced that it takes no new work
 * @param incarnation incarnation of the peer, null until the first handshake
 * @param peerRevision configuration revision the peer has confirmed, 0 if none
 * @param peerDigest configuration digest the peer has confirmed
 * @param roundTripMicros round-trip time measured in the handshake, in microseconds, 0 if not measured
 * @param openAttempts attempts without an outcome
 */
public record LinkStatus(
        String target,
        boolean usable,
        boolean leaving,
        @Nullable Incarnation incarnation,
        long peerRevision,
        long peerDigest,
        long roundTripMicros,
        int openAttempts) {}
