package io.masticfold.gateway.stage;

import java.time.Duration;

/** Measures how long the pieces of a pool take. Used by one thread. */
final class StageTimes {

    /** Time before any has been measured: a call of a few pieces. */
    private static final Duration INITIAL = Duration.ofMillis(250);

    /** Bounds, so that a few extreme pieces do not make every request late. */
    private static final Duration LEAST = Duration.ofMillis(150);

    private static final Duration MOST = Duration.ofMillis(500);

    /** Weight of the newest piece. */
    private static final double WEIGHT = 0.02;

    private double nanos = INITIAL.toNanos();

    void made(long elapsedNanos) {
        nanos = (1 - WEIGHT) * nanos + WEIGHT * elapsedNanos;
    }

    Duration usual() {
        return Duration.ofNanos((long) Math.max(LEAST.toNanos(), Math.min(MOST.toNanos(), nanos)));
    }
}
