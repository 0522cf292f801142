package io.masticfold.gateway.store;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** Shares a kind whose objects are written often, with changes that matter seldom: followers make no calls. */
final class SharedReads extends AbstractSharedReads {

    private final Duration minReadAge;
    private final Duration followerInterval;

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
        super(kind, time, readerInterval, followerInterval, reader, stableContent);
        this.minReadAge = readerInterval.dividedBy(2);
        this.followerInterval = followerInterval;
    }

    @Override
    public Duration delay(long era) {
        return delayUntilDue(era);
    }

    @Override
    public boolean listInsteadOfWatch() {
        return schedule().ownReadAge().compareTo(followerInterval.multipliedBy(2)) > 0;
    }

    @Override
    public Duration watchWait() {
        return KindWatcher.WATCH_WAIT;
    }

    /** A peer has read a change after the last read of this gateway, unless that was very recent. */
    @Override
    public boolean readNow(long era, boolean watching) {
        return !watching
                && schedule().ownReadAge().compareTo(minReadAge) >= 0
                && delayUntilDue(era).isZero();
    }

    @Override
    public void removePeer(String peer) {
        schedule().removePeer(peer);
    }
}
