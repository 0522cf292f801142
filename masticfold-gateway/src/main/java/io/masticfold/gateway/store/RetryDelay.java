package io.masticfold.gateway.store;

import java.time.Duration;

/** Returns the delays before failed calls are retried, each twice as long as the one before, up to a limit. */
final class RetryDelay {

    static final Duration MIN = Duration.ofMillis(100);
    static final Duration MAX = Duration.ofMillis(400);

    private Duration next = MIN;

    /** Returns the delay before the next retry. */
    Duration next() {
        Duration delay = next;
        Duration doubled = delay.multipliedBy(2);
        next = doubled.compareTo(MAX) > 0 ? MAX : doubled;
        return delay;
    }

    /** Starts again with the shortest delay. */
    void reset() {
        next = MIN;
    }
}
