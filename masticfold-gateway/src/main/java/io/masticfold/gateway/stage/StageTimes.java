package io.masticfold.gateway.stage;

import java.time.Duration;

/** Maintains a bounded moving average of the time that the pieces of a pool take. Not thread-safe. */
final class StageTimes {

    /** Initial value: the duration of a call with a few pieces. */
    private static final Duration INITIAL = Duration.ofMillis(250);

    /** Bounds of the average, so that a few outliers do not make every request count as late. */
    private static final Duration LEAST = Duration.ofMillis(150);

    private static final Duration MOST = Duration.ofMillis(500);

    /** Weight of the latest piece. */
    private static final double WEIGHT = 0.02;

    private double nanos = INITIAL.toNanos();

    void made(long elapsedNanos) {
        nanos = (1 - WEIGHT) * nanos + WEIGHT * elapsedNanos;
    }

    Duration usual() {
        return Duration.ofNanos((long) Math.max(LEAST.toNanos(), Math.min(MOST.toNanos(), nanos)));
    }
}
