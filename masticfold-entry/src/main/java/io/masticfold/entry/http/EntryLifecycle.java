package io.masticfold.entry.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Tells whether the entry takes requests and counts those in progress. Safe for use by several threads. */
public final class EntryLifecycle {

    /** Time after which a caller refused by a stopping entry may come back; the balancer has moved on by then. */
    public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    private final AtomicInteger inProgress = new AtomicInteger();

    /** Lists the phases of an entry, in their order. */
    public enum Phase {
        /** Ready; takes requests. */
        SERVING,
        /** Not ready for the balancer, but takes requests that still arrive. */
        DRAINING,
        /** Refuses new requests and ends those in progress. */
        REFUSING;

        /** Returns whether the balancer may send requests. */
        public boolean ready() {
            return this == SERVING;
        }

        boolean takesRequests() {
            return this != REFUSING;
        }
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase.get();
    }

    /** Moves to a later phase; a move back is ignored. */
    public void advance(Phase next) {
        phase.updateAndGet(current -> next.compareTo(current) > 0 ? next : current);
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /** Counts a request in progress before the phase is read, so that a stop cannot miss it. */
    boolean enter() {
        inProgress.incrementAndGet();
        if (phase.get().takesRequests()) {
            return true;
        }
        leave();
        return false;
    }

    void leave() {
        inProgress.decrementAndGet();
    }
}
