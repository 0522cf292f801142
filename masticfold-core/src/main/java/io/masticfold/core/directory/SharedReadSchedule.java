package io.masticfold.core.directory;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides when a gateway reads a kind of object from the store. Load pattern: dozens of gateways that all read the same
 * objects, which seldom change. One gateway, the reader, reads at the usual interval and tells the others a digest of
 * what it has read. A follower whose own state has the same digest is as up to date as that read, and reads only if no
 * such read is recent: the reader is gone, is cut off from the store, or has seen a change. A kind whose changes must
 * be known within a bound shorter than the follower's interval is read by every gateway instead. Not safe for use by
 * several threads.
 */
public final class SharedReadSchedule {

    private final TimeSource time;
    private final Duration readerInterval;
    private final Duration followerInterval;
    private final Map<String, PeerRead> peerReads = new HashMap<>();
    private long ownReadNanos;
    private boolean ownReadRecorded;

    /**
     * Creates a schedule.
     *
     * @param readerInterval interval of the reads of the reader
     * @param followerInterval age of the latest known read at which any gateway reads; longer than the interval of the
     *     reader by the time after which its reads are known to all
     */
    public SharedReadSchedule(TimeSource time, Duration readerInterval, Duration followerInterval) {
        if (followerInterval.compareTo(readerInterval) <= 0) {
            throw new IllegalArgumentException(
                    "followerInterval must be longer than " + readerInterval + ": " + followerInterval);
        }
        this.time = time;
        this.readerInterval = readerInterval;
        this.followerInterval = followerInterval;
        this.ownReadNanos = time.nanoTime();
    }

    /** Records that the store has answered a read of this gateway. */
    public void recordOwnRead() {
        ownReadNanos = time.nanoTime();
        ownReadRecorded = true;
    }

    /** Returns the time since the store answered the last read of this gateway. */
    public Duration ownReadAge() {
        return Duration.ofNanos(time.nanoTime() - ownReadNanos);
    }

    /** Returns the time since the store answered a read of any gateway, whatever it found. */
    public Duration latestReadAge() {
        long latest = ownReadNanos;
        for (PeerRead read : peerReads.values()) {
            if (read.nanos() - latest > 0) {
                latest = read.nanos();
            }
        }
        return Duration.ofNanos(time.nanoTime() - latest);
    }

    /**
     * Records the latest read of a peer.
     *
     * @param state what the peer knew after it
     * @param age time since the store answered it
     */
    public void recordPeerRead(String peer, ReadState state, Duration age) {
        peerReads.put(peer, new PeerRead(state, time.nanoTime() - age.toNanos()));
    }

    /** Forgets the reads of a peer that is no longer reachable. */
    public void removePeer(String peer) {
        peerReads.remove(peer);
    }

    /**
     * Returns the time after which this gateway should read, zero if now.
     *
     * @param reader whether this gateway is the reader
     * @param own what this gateway knows
     */
    public Duration delay(boolean reader, ReadState own) {
        long now = time.nanoTime();
        long outdated = 2 * followerInterval.toNanos();
        peerReads.values().removeIf(read -> now - read.nanos() > outdated);
        for (PeerRead read : peerReads.values()) {
            if (!read.state().same(own) && read.nanos() - ownReadNanos > 0) {
                // The peer has read a change that this gateway does not know.
                return Duration.ZERO;
            }
        }
        long due = confirmedNanos(own).orElse(ownReadNanos) + (reader ? readerInterval : followerInterval).toNanos();
        return Duration.ofNanos(Math.max(0, due - now));
    }

    /**
     * Returns the time of the latest read by any gateway that found what this gateway knows; empty before the first.
     *
     * @param own what this gateway knows
     */
    public OptionalLong confirmedNanos(ReadState own) {
        OptionalLong latest = ownReadRecorded ? OptionalLong.of(ownReadNanos) : OptionalLong.empty();
        for (PeerRead read : peerReads.values()) {
            if (read.state().same(own) && (latest.isEmpty() || read.nanos() - latest.getAsLong() > 0)) {
                latest = OptionalLong.of(read.nanos());
            }
        }
        return latest;
    }

    /**
     * Identifies what a gateway knows of a kind.
     *
     * @param era era of the store in which it was read
     * @param digest digest of the objects, without what their writers change at each write
     */
    public record ReadState(long era, long digest) {

        /** As {@link #equals}, which costs several times as much in a process that has just started. */
        boolean same(ReadState other) {
            return era == other.era && digest == other.digest;
        }
    }

    private record PeerRead(ReadState state, long nanos) {}
}
