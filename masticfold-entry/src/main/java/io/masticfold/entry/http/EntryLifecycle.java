package io.masticfold.entry.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Tracks the lifecycle phase of the entry and the number of requests in progress. Thread-safe. */
public final class EntryLifecycle {

    /** Retry delay for callers refused during shutdown; by then the load balancer has stopped using this entry. */
    public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    private final AtomicInteger inProgress = new AtomicInteger();

    /** Lifecycle phases of an entry, in order. */
    public enum Phase {
        /** Ready and accepting requests. */
        SERVING,
        /** Reported as not ready to the load balancer, but still accepting requests that arrive. */
        DRAINING,
        /** Refusing new requests and waiting for those in progress. */
        REFUSING;

        /** Returns whether the load balancer may send requests to this entry. */
        public boolean ready() {
            return this == SERVING;
        }

        boolean acceptsRequests() {
            return this != REFUSING;
        }
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase.get();
    }

    /** Advances to a later phase; an earlier phase is ignored. */
    public void advance(Phase next) {
        phase.updateAndGet(current -> next.compareTo(current) > 0 ? next : current);
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Registers a request unless the entry refuses requests. The request is counted before the phase is read, so that a
     * concurrent shutdown cannot miss it.
     */
    boolean beginRequest() {
        inProgress.incrementAndGet();
        if (phase.get().acceptsRequests()) {
            return true;
        }
        endRequest();
        return false;
    }

    void endRequest() {
        inProgress.decrementAndGet();
    }
}
