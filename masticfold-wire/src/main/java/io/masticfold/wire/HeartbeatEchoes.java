package io.masticfold.wire;

import java.util.OptionalLong;

/**
 * Matches the heartbeats sent over a link with the echoes of their sequence numbers, which gives the time of the last
 * round trip without comparing the clocks of two processes. Confined to the event loop of the link.
 */
final class HeartbeatEchoes {

    /** Number of heartbeats kept, about 16 s; older echoes are too late to be useful. */
    private static final int HISTORY_SIZE = 32;

    private final long[] sentNanos = new long[HISTORY_SIZE];
    private long lastSentSequence;
    private long lastReceivedSequence;

    /** Records the time of a heartbeat that is about to be sent and returns its sequence number. */
    long recordSent(long nowNanos) {
        lastSentSequence++;
        sentNanos[index(lastSentSequence)] = nowNanos;
        return lastSentSequence;
    }

    /** Records the sequence number of a heartbeat received from the peer. */
    void recordReceived(long sequence) {
        lastReceivedSequence = Math.max(lastReceivedSequence, sequence);
    }

    /** Returns the highest sequence number received, which the next heartbeat echoes, or 0 if there is none. */
    long lastReceived() {
        return lastReceivedSequence;
    }

    /** Returns when the echoed heartbeat was sent; empty if it was never sent or is no longer kept. */
    OptionalLong sentTimeNanos(long echo) {
        boolean known = echo > 0 && echo <= lastSentSequence && echo > lastSentSequence - HISTORY_SIZE;
        return known ? OptionalLong.of(sentNanos[index(echo)]) : OptionalLong.empty();
    }

    private static int index(long sequence) {
        return (int) (sequence % HISTORY_SIZE);
    }
}
