package io.masticfold.wire;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;

/** Time source that advances only when a test calls {@link #advance(Duration)}. */
final class MutableTime implements TimeSource {

    private long nanos;

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    void advance(Duration duration) {
        nanos += duration.toNanos();
    }
}
