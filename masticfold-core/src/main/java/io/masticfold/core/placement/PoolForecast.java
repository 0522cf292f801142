package io.masticfold.core.placement;

import java.time.Duration;

/**
 * Predicts how a pool would serve a request that is sent now. Covers the targets that the request may be sent to.
 *
 * @param slots number of requests that these targets run concurrently
 * @param running number of requests that run there, as far as this gateway knows
 * @param waiting number of requests that wait there, as far as this gateway knows
 * @param timeToStart time until the best target starts the request
 * @param timeToAnswer time until the best target has answered, or has sent the first event of a stream
 */
public record PoolForecast(int slots, int running, int waiting, Duration timeToStart, Duration timeToAnswer) {

    /** Validates the ranges. */
    public PoolForecast {
        if (slots < 0 || running < 0 || waiting < 0) {
            throw new IllegalArgumentException(
                    "slots, running and waiting must not be negative: " + slots + ", " + running + ", " + waiting);
        }
        if (timeToStart.isNegative() || timeToAnswer.compareTo(timeToStart) < 0) {
            throw new IllegalArgumentException(
                    "times must satisfy 0 <= timeToStart <= timeToAnswer: " + timeToStart + ", " + timeToAnswer);
        }
    }

    /** Returns whether fewer than half of the slots are in use and no request waits. */
    public boolean mostlyIdle() {
        return waiting == 0 && running * 2 < slots;
    }
}
