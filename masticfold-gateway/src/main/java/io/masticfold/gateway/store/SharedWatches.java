package io.masticfold.gateway.store;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.protocol.StoreKind;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Shares a kind that seldom changes: followers keep one watch open for long, and the reader watches in short turns,
 * which proves that the store answers. A watch whose connection has gone silent is abandoned as soon as the reader
 * knows more, or once no gateway has read for as long as a short watch can take.
 */
final class SharedWatches extends AbstractSharedReads {

    /** Time for which the store may hold the watch of a follower open. */
    static final Duration LONG_WATCH_WAIT = Duration.ofSeconds(25);

    /** Time between two answers to the reader, the pause included, if nothing changes. */
    private static final Duration READER_CYCLE = Duration.ofMillis(2200);

    /** Age of the latest read by any gateway at which the reader reads: longer than one of its watches can take. */
    static final Duration READER_INTERVAL = KindWatcher.WATCH_WAIT.plus(CheckedRead.RESPONSE_TIMEOUT);

    /** Age at which followers read: after a reader that has just taken over. */
    static final Duration FOLLOWER_INTERVAL = READER_INTERVAL.plusMillis(500);

    /** Time within which a change that a peer has read should also arrive on the own watch. */
    private static final Duration ARRIVAL_WINDOW = Duration.ofMillis(250);

    private final TimeSource time;
    private final Duration pause;
    private OptionalLong dueSinceNanos = OptionalLong.empty();

    /**
     * Creates the shared watches of a kind.
     *
     * @param pause time between two watches
     * @param reader whether this gateway is the reader at present
     */
    SharedWatches(StoreKind kind, TimeSource time, Duration pause, BooleanSupplier reader) {
        super(
                kind,
                time,
                READER_INTERVAL,
                FOLLOWER_INTERVAL,
                reader,
                object -> object.name() + " " + object.revision());
        this.time = time;
        this.pause = pause;
    }

    @Override
    public Duration delay(long _era) {
        return Duration.ZERO;
    }

    @Override
    public boolean listInsteadOfWatch() {
        return false;
    }

    @Override
    public Duration watchWait() {
        return isReader() ? READER_CYCLE.minus(pause) : LONG_WATCH_WAIT;
    }

    @Override
    public boolean readNow(long era, boolean watching) {
        if (!watching || !delayUntilDue(era).isZero()) {
            dueSinceNanos = OptionalLong.empty();
            return false;
        }
        long now = time.nanoTime();
        if (dueSinceNanos.isEmpty()) {
            dueSinceNanos = OptionalLong.of(now);
        }
        return now - dueSinceNanos.getAsLong() >= ARRIVAL_WINDOW.toNanos();
    }

    /** Keeps what the peer has read: it stays true, and lets the next reader take over before all others read. */
    @Override
    public void removePeer(String _peer) {}
}
