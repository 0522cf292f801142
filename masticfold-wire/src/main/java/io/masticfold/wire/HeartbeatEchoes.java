package io.masticfold.wire;

import java.util.OptionalLong;

/**
 * Matches the heartbeats of a link with their echoes, which measures round trips without comparing clocks. Confined to
 * the loop of the link.
 */
final class HeartbeatEchoes {

    /** Heartbeats remembered; echoes that are older, about 16 s, say nothing of use. */
    private static final int REMEMBERED = 32;

    private final long[] sentNanos = new long[REMEMBERED];
    private long sent;
    private long received;

    /** Records a heartbeat that is sent now and returns its sequence number. */
    long sending(long nowNanos) {
        sent++;
        sentNanos[index(sent)] = nowNanos;
        return sent;
    }

    /** Records the sequence number of a heartbeat from the peer. */
    void received(long sequence) {
        received = Math.max(received, sequence);
    }

    /** Returns the sequence number to echo, 0 if none was received. */
    long lastReceived() {
        return received;
    }

    /** Returns when the heartbeat that the peer echoes was sent; empty if there is none or it is forgotten. */
    OptionalLong askedNanos(long echo) {
        boolean known = echo > 0 && echo <= sent && echo > sent - REMEMBERED;
        return known ? OptionalLong.of(sentNanos[index(echo)]) : OptionalLong.empty();
    }

    private static int index(long sequence) {
        return (int) (sequence % REMEMBERED);
    }
}
