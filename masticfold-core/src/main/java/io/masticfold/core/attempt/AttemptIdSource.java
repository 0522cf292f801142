package io.masticfold.core.attempt;

import java.util.concurrent.atomic.AtomicLong;

/** Issues the attempt ids of one entry incarnation. Safe for use by several threads. */
public final class AttemptIdSource {

    private final Incarnation entry;
    private final AtomicLong counter = new AtomicLong();

    /** Creates a source whose first id has counter 1. */
    public AttemptIdSource(Incarnation entry) {
        this.entry = entry;
    }

    /** Returns the next id. */
    public AttemptId next() {
        return new AttemptId(entry, counter.incrementAndGet());
    }

    /** Returns the incarnation the ids carry. */
    public Incarnation entry() {
        return entry;
    }
}
