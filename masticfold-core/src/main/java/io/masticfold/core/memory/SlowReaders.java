package io.masticfold.core.memory;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** Chooses the readers whose unsent output is dropped while a process holds too much memory for others. */
public final class SlowReaders {

    /** Readers with later progress are only shed above the limit: the time covers two samples and lost packets. */
    static final Duration MIN_STALL = Duration.ofSeconds(1);

    private SlowReaders() {}

    /**
     * Returns the readers to be shed, those without progress for the longest time first.
     *
     * @param readers all readers with unsent output
     */
    public static <K> List<Reader<K>> toShed(MemoryAccount account, List<Reader<K>> readers, long nowNanos) {
        long excess = account.excessBytes();
        long minStallNanos = account.exceeded() ? 0 : MIN_STALL.toNanos();
        Comparator<Reader<K>> byStall = Comparator.comparingLong(reader -> reader.stalledNanos(nowNanos));
        List<Reader<K>> slowestFirst = readers.stream()
                .filter(reader -> reader.unsentBytes() > 0 && reader.stalledNanos(nowNanos) >= minStallNanos)
                .sorted(byStall.reversed())
                .toList();
        int count = 0;
        for (long freed = 0; count < slowestFirst.size() && freed < excess; count++) {
            freed += slowestFirst.get(count).unsentBytes();
        }
        return slowestFirst.subList(0, count);
    }

    /**
     * Holds the progress of a connection with unsent output.
     *
     * @param connection the connection
     * @param unsentBytes output that waits to be read by the peer
     * @param progressNanos monotonic time at which output was last taken, or at which the first of it began to wait
     */
    public record Reader<K>(K connection, long unsentBytes, long progressNanos) {

        /** Returns the time without progress, in nanoseconds. */
        public long stalledNanos(long nowNanos) {
            return nowNanos - progressNanos;
        }
    }
}
