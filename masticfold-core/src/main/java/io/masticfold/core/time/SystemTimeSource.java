package io.masticfold.core.time;

import java.time.Instant;

/** Reads the system clocks. */
enum SystemTimeSource implements TimeSource {
    INSTANCE;

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Instant now() {
        return Instant.now();
    }
}
