package io.masticfold.gateway.store;

import io.masticfold.core.directory.SharedReadSchedule;
import io.masticfold.core.directory.SharedReadSchedule.ReadState;
import io.masticfold.core.routing.RendezvousHashing;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** Shares the reads of one kind of object among the gateways. Not thread-safe. */
final class SharedReads {

    private final StoreKind kind;
    private final Duration readerInterval;
    private final Duration followerInterval;
    private final SharedReadSchedule schedule;
    private final BooleanSupplier reader;
    private final Function<StoreObject, String> stableContent;
    private final Map<String, Long> digests = new HashMap<>();

    /**
     * Creates the shared reads of a kind.
     *
     * @param readerInterval interval of the reads of the reader
     * @param followerInterval age of the latest known read at which any gateway reads
     * @param reader whether this gateway is the reader at present
     * @param stableContent returns the content of an object without what its writer changes at each write
     */
    SharedReads(
            StoreKind kind,
            TimeSource time,
            Duration readerInterval,
            Duration followerInterval,
            BooleanSupplier reader,
            Function<StoreObject, String> stableContent) {
        this.kind = kind;
        this.readerInterval = readerInterval;
        this.followerInterval = followerInterval;
        this.schedule = new SharedReadSchedule(time, readerInterval, followerInterval);
        this.reader = reader;
        this.stableContent = stableContent;
    }

    void replaceAll(List<StoreObject> objects) {
        digests.clear();
        objects.forEach(this::put);
    }

    void put(StoreObject object) {
        if (object.deleted()) {
            digests.remove(object.name());
        } else {
            digests.put(object.name(), RendezvousHashing.key(stableContent.apply(object)));
        }
    }

    void recordOwnRead() {
        schedule.recordOwnRead();
    }

    /** Returns the time after which this gateway should read, zero if now. */
    Duration delay(long era) {
        return schedule.delay(reader.getAsBoolean(), state(era));
    }

    /** Returns whether a peer has read a change after the last read of this gateway, unless that was very recent. */
    boolean changeKnownToPeer(long era) {
        return schedule.ownReadAge().compareTo(readerInterval.dividedBy(2)) >= 0
                && schedule.delay(reader.getAsBoolean(), state(era)).isZero();
    }

    /** Returns whether so many changes may have been made since the last own read that a list is shorter. */
    boolean listInsteadOfWatch() {
        return schedule.ownReadAge().compareTo(followerInterval.multipliedBy(2)) > 0;
    }

    /** Returns the latest own read for the peers. */
    KindRead encode(long era) {
        return KindRead.newBuilder()
                .setKind(kind.ordinal())
                .setEra(era)
                .setDigest(state(era).digest())
                .setAgeMillis(
                        (int) Math.min(Integer.MAX_VALUE, schedule.ownReadAge().toMillis()))
                .build();
    }

    void recordPeerRead(String peer, KindRead read) {
        if (read.getKind() == kind.ordinal()) {
            schedule.recordPeerRead(
                    peer, new ReadState(read.getEra(), read.getDigest()), Duration.ofMillis(read.getAgeMillis()));
        }
    }

    void removePeer(String peer) {
        schedule.removePeer(peer);
    }

    private ReadState state(long era) {
        long sum = 0;
        for (long digest : digests.values()) {
            sum += digest;
        }
        return new ReadState(era, sum);
    }
}
