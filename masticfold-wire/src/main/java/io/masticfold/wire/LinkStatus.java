package io.masticfold.wire;

import io.masticfold.core.attempt.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Status of a link.
 *
 * @param target on an entry, the target served by the agent; on an agent, the process name of the entry
 * @param usable whether new attempts may be dispatched
 * @param leaving whether the peer has announced that it accepts no new attempts
 * @param incarnation incarnation of the peer, null before the first handshake
 * @param peerRevision configuration revision last reported by the peer, 0 if none
 * @param peerDigest configuration digest last reported by the peer
 * @param roundTripMicros round-trip time measured in the handshake, in microseconds, 0 if not measured
 * @param openAttempts number of attempts that have no outcome yet
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
