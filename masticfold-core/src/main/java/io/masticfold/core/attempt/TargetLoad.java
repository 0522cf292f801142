package io.masticfold.core.attempt;

/**
 * Load of a target as known to its agent; sent with every outcome and heartbeat.
 *
 * @param temperature whether the target is cold, warming or warm
 * @param inFlight number of attempts that hold a concurrency slot of the target
 * @param queued number of attempts waiting at the agent
 * @param limit concurrency limit in effect
 * @param serviceMicros recent mean service time, in microseconds, or 0 if none is known yet
 */
public record TargetLoad(Temperature temperature, int inFlight, int queued, int limit, long serviceMicros) {

    /** Load assumed for a target about which nothing is known yet. */
    public static final TargetLoad UNKNOWN = new TargetLoad(Temperature.COLD, 0, 0, 1, 0);

    /** Validates that no count is negative. */
    public TargetLoad {
        if (inFlight < 0 || queued < 0 || limit < 0) {
            throw new IllegalArgumentException(
                    "load values must not be negative: inFlight=" + inFlight + " queued=" + queued + " limit=" + limit);
        }
    }

    /** Returns the number of running and waiting attempts as a fraction of the concurrency limit. */
    public double utilization() {
        return (inFlight + queued) / (double) Math.max(1, limit);
    }
}
