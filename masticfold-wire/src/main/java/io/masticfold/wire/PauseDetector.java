package io.masticfold.wire;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/**
 * Detects pauses of the process. Messages that arrive during a pause wait in the socket buffer while the time budget
 * they carry already counts down from when they were written, so the length of the pause is subtracted from it.
 * Confined to the event loop of the connection.
 */
final class PauseDetector {

    /** Shortest gap that counts as a pause; in normal operation the gap is at most one heartbeat interval. */
    private static final Duration MIN_PAUSE = WireLimits.HEARTBEAT_INTERVAL.multipliedBy(2);

    /** Time after a pause in which messages read may still date from it, because one read does not drain the socket. */
    private static final Duration BACKLOG_READ_TIME = WireLimits.HEARTBEAT_INTERVAL;

    private final TimeSource time;
    private long lastObservedNanos;
    private long pauseNanos;
    private long pauseEndNanos;

    PauseDetector(TimeSource time) {
        this.time = time;
        this.lastObservedNanos = time.nanoTime();
    }

    /**
     * Records that the event loop is running. Must be called at least once per heartbeat interval.
     *
     * @return upper bound of the time that a message read now has waited because of a pause, zero without a pause
     */
    Duration observe() {
        long now = time.nanoTime();
        long gap = now - lastObservedNanos;
        lastObservedNanos = now;
        if (gap >= MIN_PAUSE.toNanos()) {
            pauseNanos = gap;
            pauseEndNanos = now;
        } else if (pauseNanos > 0 && now - pauseEndNanos > BACKLOG_READ_TIME.toNanos()) {
            pauseNanos = 0;
        }
        return Duration.ofNanos(pauseNanos);
    }
}
