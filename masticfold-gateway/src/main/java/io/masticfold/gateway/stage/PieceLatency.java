package io.masticfold.gateway.stage;

import java.time.Duration;

/** Maintains a bounded moving average of the time that the pieces of a pool take. Not thread-safe. */
final class PieceLatency {

    /** Initial value: the duration of a call with a few pieces. */
    private static final Duration INITIAL = Duration.ofMillis(250);

    /** Bounds of the average, so that a few outliers do not make every request count as late. */
    private static final Duration MIN = Duration.ofMillis(150);

    private static final Duration MAX = Duration.ofMillis(500);

    /** Weight of the latest piece. */
    private static final double WEIGHT = 0.02;

    private double nanos = INITIAL.toNanos();

    void record(long elapsedNanos) {
        nanos = (1 - WEIGHT) * nanos + WEIGHT * elapsedNanos;
    }

    Duration average() {
        return Duration.ofNanos((long) Math.max(MIN.toNanos(), Math.min(MAX.toNanos(), nanos)));
    }
}
