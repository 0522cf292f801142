package io.masticfold.core.shutdown;

import java.time.Duration;

/** The longest of the most recent durations; older ones are forgotten in blocks. Used by one thread. */
final class RecentMaximum {

    /** Number of durations in a block; the last complete block and the current one count. */
    static final int BLOCK_SIZE = 128;

    private Duration previous = Duration.ZERO;
    private Duration current = Duration.ZERO;
    private int count;

    void record(Duration duration) {
        if (count == BLOCK_SIZE) {
            previous = current;
            current = Duration.ZERO;
            count = 0;
        }
        count++;
        current = max(current, duration);
    }

    Duration longest() {
        return max(previous, current);
    }

    private static Duration max(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
