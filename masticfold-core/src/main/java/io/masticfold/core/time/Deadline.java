package io.masticfold.core.time;

import java.time.Duration;

/**
 * Represents the end of a request's window in monotonic time. A deadline is never extended.
 *
 * @param expiryNanos end of the window as given by {@link TimeSource#nanoTime()}, in nanoseconds
 */
public record Deadline(long expiryNanos) {

    /**
     * Creates a deadline at the end of a window that starts now.
     *
     * @param time the time source
     * @param window length of the window; must not be negative
     */
    public static Deadline after(TimeSource time, Duration window) {
        if (window.isNegative()) {
            throw new IllegalArgumentException("window must not be negative: " + window);
        }
        return new Deadline(time.nanoTime() + window.toNanos());
    }

    /** Returns the remaining time, in nanoseconds; negative after the deadline. */
    public long remainingNanos(TimeSource time) {
        return expiryNanos - time.nanoTime();
    }

    /** Returns the remaining time; zero after the deadline. */
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
