package io.masticfold.core.time;

import java.time.Duration;

/**
 * Holds the point in monotonic time at which a request's window ends. A deadline is never extended.
 *
 * @param expiryNanos the end of the window on the {@link TimeSource#nanoTime()} axis, in nanoseconds
 */
public record Deadline(long expiryNanos) {

    /**
     * Creates the deadline a window from now.
     *
     * @param time the time source
     * @param window the length of the window; must not be negative
     */
    public static Deadline after(TimeSource time, Duration window) {
        if (window.isNegative()) {
            throw new IllegalArgumentException("window must not be negative: " + window);
        }
        return new Deadline(time.nanoTime() + window.toNanos());
    }

    /** Returns the time left, in nanoseconds, negative once the deadline has passed. */
    public long remainingNanos(TimeSource time) {
        return expiryNanos - time.nanoTime();
    }

    /** Returns the time left, zero once the deadline has passed. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, remainingNanos(time)));
    }

    /** Returns whether the deadline has passed. */
    public boolean expired(TimeSource time) {
        return remainingNanos(time) <= 0;
    }

    /** Returns the earlier of two deadlines. */
    public Deadline earlier(Deadline other) {
        return expiryNanos - other.expiryNanos <= 0 ? this : other;
    }
}
