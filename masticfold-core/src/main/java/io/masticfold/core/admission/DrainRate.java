package io.masticfold.core.admission;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/** Rate at which a pool answers the requests of this gateway, over the current and the previous window. */
final class DrainRate {

    /** Averages over several changes of the targets' pace, which last about 600 ms. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(2).toNanos();

    private final TimeSource time;
    private long windowStartNanos;
    private int current;
    private int previous;

    DrainRate(TimeSource time) {
        this.time = time;
        this.windowStartNanos = time.nanoTime();
    }

    void recordAnswer() {
        rotate();
        current++;
    }

    /** Returns the answers per nanosecond, over at least one full window; 0 without answers. */
    double perNano() {
        rotate();
        return (current + previous) / (double) (WINDOW_NANOS + time.nanoTime() - windowStartNanos);
    }

    private void rotate() {
        long elapsed = time.nanoTime() - windowStartNanos;
        if (elapsed < WINDOW_NANOS) {
            return;
        }
        previous = elapsed < 2 * WINDOW_NANOS ? current : 0;
        current = 0;
        windowStartNanos += elapsed / WINDOW_NANOS * WINDOW_NANOS;
    }
}
