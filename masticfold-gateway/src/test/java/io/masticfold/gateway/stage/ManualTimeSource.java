package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;

/** Time source that a test advances. */
final class ManualTimeSource implements TimeSource {

    private long nanos;

    void advance(Duration length) {
        nanos += length.toNanos();
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH;
    }
}
