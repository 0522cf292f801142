package io.masticfold.core.limit;

import io.masticfold.core.time.TimeSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits a rate and its bursts by the generic cell rate algorithm (GCRA). The only state is the time at which the
 * bucket would be full again. Safe for use by several threads.
 */
public final class RateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final AtomicLong fullAtNanos;
    private volatile Rate rate;

    /**
     * Creates a limiter with a full bucket.
     *
     * @param time the time source
     * @param perSecond permits per second, positive
     * @param burst permits that may be taken at once, at least 1
     */
    public RateLimiter(TimeSource time, double perSecond, double burst) {
        this.time = time;
        this.rate = Rate.of(perSecond, burst);
        this.fullAtNanos = new AtomicLong(time.nanoTime());
    }

    /** Changes the rate and burst; permits already taken still count. */
    public void adjust(double perSecond, double burst) {
        rate = Rate.of(perSecond, burst);
    }

    /**
     * Takes a permit if one is available.
     *
     * @return 0 if a permit was taken, otherwise the time until the next permit, in nanoseconds
     */
    public long tryAcquire() {
        while (true) {
            Rate current = rate;
            long now = time.nanoTime();
            long fullAt = fullAtNanos.get();
            long start = fullAt - now > 0 ? fullAt : now;
            long nextFullAt = start + current.intervalNanos();
            long waitNanos = nextFullAt - now - current.capacityNanos();
            if (waitNanos > 0) {
                return waitNanos;
            }
            if (fullAtNanos.compareAndSet(fullAt, nextFullAt)) {
                return 0;
            }
        }
    }

    private record Rate(long intervalNanos, long capacityNanos) {
        static Rate of(double perSecond, double burst) {
            if (!(perSecond > 0) || burst < 1) {
                throw new IllegalArgumentException(
                        "rate must be positive and burst at least 1: " + perSecond + ", " + burst);
            }
            long interval = Math.max(1, (long) (NANOS_PER_SECOND / perSecond));
            return new Rate(interval, (long) (interval * burst));
        }
    }
}
