package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Remembers until when each incarnation of a stage server takes no calls, whichever queue calls it: servers move to
 * another queue when their pool grows or shrinks. Not thread-safe.
 */
final class ServerPauses {

    private final Map<String, Entry> entries = new HashMap<>();

    /** Returns the pause of an incarnation; the same object for as long as it is retained. */
    Pause of(TargetRecord server) {
        Entry known = entries.get(server.id());
        if (known == null || !known.server().sameIncarnation(server)) {
            known = new Entry(server, new Pause());
            entries.put(server.id(), known);
        }
        return known.pause();
    }

    /** Returns the time until a server takes calls; zero if it is not known to pause. */
    Duration remaining(TargetRecord server, long nowNanos) {
        Entry entry = entries.get(server.id());
        return entry == null || !entry.server().sameIncarnation(server)
                ? Duration.ZERO
                : Duration.ofNanos(Math.max(0, entry.pause().remainingNanos(nowNanos)));
    }

    /** Forgets the servers that do not match. */
    void retain(Predicate<TargetRecord> known) {
        entries.values().removeIf(entry -> !known.test(entry.server()));
    }

    /** End of the pauses of one incarnation, as monotonic times. */
    static final class Pause {

        private boolean pausedEver;
        private boolean limitedEver;
        private long pausedUntilNanos;
        private long limitedUntilNanos;

        /** Pauses calls until a time, in place of an earlier pause of this gateway's own. */
        void pause(long untilNanos) {
            pausedEver = true;
            pausedUntilNanos = untilNanos;
        }

        /** Delays calls until a time that the server asked for; a later one holds. */
        void limit(long untilNanos) {
            if (!limitedEver || untilNanos - limitedUntilNanos > 0) {
                limitedEver = true;
                limitedUntilNanos = untilNanos;
            }
        }

        /** Returns the time until the next call, in nanoseconds; zero or negative if it may be made now. */
        long remainingNanos(long nowNanos) {
            long paused = pausedEver ? pausedUntilNanos - nowNanos : 0;
            long limited = limitedEver ? limitedUntilNanos - nowNanos : 0;
            return Math.max(paused, limited);
        }
    }

    private record Entry(TargetRecord server, Pause pause) {}
}
