package io.masticfold.gateway.protocol;

import java.util.OptionalDouble;

/**
 * Holds the load that a target reports with a response.
 *
 * @param running number of requests it is running
 * @param waiting number of requests in its queue
 * @param slots number of requests it can run concurrently
 * @param pace duration of work on its machine at this moment, relative to the usual one; empty if it reports none
 */
public record TargetLoadReport(int running, int waiting, int slots, OptionalDouble pace) {

    /** Validates the pace. */
    public TargetLoadReport {
        if (pace.isPresent() && !(pace.getAsDouble() > 0)) {
            throw new IllegalArgumentException("pace must be positive: " + pace.getAsDouble());
        }
    }
}
