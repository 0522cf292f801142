package io.masticfold.core.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * A request on which an admission decides.
 *
 * @param handle the caller's object for the request; compared by identity
 * @param priority priority; 0 is the most urgent
 * @param workspace key of those who share the capacity fairly within a priority
 * @param fingerprint identifies the request over all attempts of its caller
 * @param usualTime usual time until a complete answer once a target has started; empty if unknown
 * @param deadlineNanos time by which the answer must be complete, as given by the time source, in nanoseconds
 * @param <T> type of the handle
 */
public record AdmissionRequest<T>(
        T handle,
        int priority,
        String workspace,
        String fingerprint,
        Optional<Duration> usualTime,
        long deadlineNanos) {

    /** Returns the time at which a target must start the request for its answer to be in time, in nanoseconds. */
    long latestStartNanos() {
        return deadlineNanos - usualTime.orElse(Duration.ZERO).toNanos();
    }
}
