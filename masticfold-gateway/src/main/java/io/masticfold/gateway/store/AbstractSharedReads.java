package io.masticfold.gateway.store;

import io.masticfold.core.directory.SharedReadSchedule;
import io.masticfold.core.directory.SharedReadSchedule.ReadState;
import io.masticfold.core.routing.RendezvousHashing;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Shares the reads of one kind of object among the gateways: one of them, the reader, reads at short intervals, and a
 * digest tells the others whether they know the same.
 */
abstract class AbstractSharedReads implements ReadPlan {

    private final StoreKind kind;
    private final TimeSource time;
    private final Duration followerInterval;
    private final SharedReadSchedule schedule;
    private final BooleanSupplier reader;
    private final Function<StoreObject, String> stableContent;
    private final Map<String, Long> digests = new HashMap<>();

    /**
     * Creates the shared reads of a kind.
     *
     * @param readerInterval age of the latest known read at which the reader reads
     * @param followerInterval age of the latest known read at which any gateway reads
     * @param reader whether this gateway is the reader at present
     * @param stableContent returns the content of an object without what its writer changes at each write
     */
    AbstractSharedReads(
            StoreKind kind,
            TimeSource time,
            Duration readerInterval,
            Duration followerInterval,
            BooleanSupplier reader,
            Function<StoreObject, String> stableContent) {
        this.kind = kind;
        this.time = time;
        this.followerInterval = followerInterval;
        this.schedule = new SharedReadSchedule(time, readerInterval, followerInterval);
        this.reader = reader;
        this.stableContent = stableContent;
    }

    @Override
    public void replaceAll(List<StoreObject> objects) {
        digests.clear();
        objects.forEach(this::put);
    }

    @Override
    public void put(StoreObject object) {
        if (object.deleted()) {
            digests.remove(object.name());
        } else {
            digests.put(object.name(), RendezvousHashing.key(stableContent.apply(object)));
        }
    }

    @Override
    public void recordOwnRead() {
        schedule.recordOwnRead();
    }

    /** A read that is older than any gateway waits for tells the peers nothing and is left out. */
    @Override
    public void addTo(PeerStatus.Builder status, long era) {
        Duration age = schedule.ownReadAge();
        if (age.compareTo(followerInterval) <= 0) {
            status.addReads(KindRead.newBuilder()
                    .setKind(kind.ordinal())
                    .setEra(era)
                    .setDigest(state(era).digest())
                    .setAgeMillis((int) age.toMillis()));
        }
    }

    @Override
    public void recordPeerRead(String peer, KindRead read) {
        if (read.getKind() == kind.ordinal()) {
            schedule.recordPeerRead(
                    peer, new ReadState(read.getEra(), read.getDigest()), Duration.ofMillis(read.getAgeMillis()));
        }
    }

    /** Returns the time of the latest read by any gateway that found what this gateway knows; empty before one did. */
    OptionalLong confirmedNanos(long era) {
        return schedule.confirmedNanos(state(era));
    }

    @Override
    public Duration sinceConfirmed(long era) {
        OptionalLong confirmed = confirmedNanos(era);
        return confirmed.isEmpty() ? Duration.ZERO : Duration.ofNanos(time.nanoTime() - confirmed.getAsLong());
    }

    @Override
    public Duration latestReadAge() {
        return schedule.latestReadAge();
    }

    /** Returns whether this gateway is the reader at present. */
    boolean isReader() {
        return reader.getAsBoolean();
    }

    /** Returns the time until this gateway has to read, zero if now. */
    Duration delayUntilDue(long era) {
        return schedule.delay(isReader(), state(era));
    }

    SharedReadSchedule schedule() {
        return schedule;
    }

    private ReadState state(long era) {
        long sum = 0;
        for (long digest : digests.values()) {
            sum += digest;
        }
        return new ReadState(era, sum);
    }
}
