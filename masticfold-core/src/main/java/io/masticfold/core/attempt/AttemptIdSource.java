package io.masticfold.core.attempt;

import java.util.concurrent.atomic.AtomicLong;

/** Generates the attempt ids of one entry incarnation. Thread-safe. */
public final class AttemptIdSource {

    private final Incarnation entry;
    private final AtomicLong counter = new AtomicLong();

    /** Creates a generator whose first id has counter 1. */
    public AttemptIdSource(Incarnation entry) {
        this.entry = entry;
    }

    /** Returns the next id. */
    public AttemptId next() {
        return new AttemptId(entry, counter.incrementAndGet());
    }

    /** Returns the entry incarnation that is part of the ids. */
    public Incarnation entry() {
        return entry;
    }
}
