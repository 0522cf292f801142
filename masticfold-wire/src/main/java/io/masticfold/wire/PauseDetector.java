package io.masticfold.wire;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/**
 * Detects that the process did not run for a while. Messages that arrived during a pause have waited in the socket, and
 * the budget they carry counts from when they were written, so the length of the pause is taken off. Confined to the
 * loop of the connection.
 */
final class PauseDetector {

    /** Shortest gap that counts as a pause; observations are at most one heartbeat interval apart. */
    private static final Duration LEAST_PAUSE = WireLimits.HEARTBEAT_INTERVAL.multipliedBy(2);

    /** Time after a pause in which messages may still stem from it, because one read does not empty the socket. */
    private static final Duration AFTERMATH = WireLimits.HEARTBEAT_INTERVAL;

    private final TimeSource time;
    private long lastNanos;
    private long pauseNanos;
    private long pauseEndNanos;

    PauseDetector(TimeSource time) {
        this.time = time;
        this.lastNanos = time.nanoTime();
    }

    /**
     * Notes that the loop runs. Must be called at least at every heartbeat.
     *
     * @return the longest time a message read now may have waited because of a pause, zero if there was none
     */
    Duration observe() {
        long now = time.nanoTime();
        long gap = now - lastNanos;
        lastNanos = now;
        if (gap >= LEAST_PAUSE.toNanos()) {
            pauseNanos = gap;
            pauseEndNanos = now;
        } else if (pauseNanos > 0 && now - pauseEndNanos > AFTERMATH.toNanos()) {
            pauseNanos = 0;
        }
        return Duration.ofNanos(pauseNanos);
    }
}
