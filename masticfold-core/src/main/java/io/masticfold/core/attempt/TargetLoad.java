package io.masticfold.core.attempt;

/**
 * Describes the load of a target as its agent sees it; carried by every answer and heartbeat.
 *
 * @param temperature cold, warming or warm
 * @param inFlight attempts running at the target
 * @param queued attempts waiting at the agent
 * @param limit concurrency limit in force
 * @param serviceMicros recent mean service time, in microseconds, 0 if none yet
 */
public record TargetLoad(Temperature temperature, int inFlight, int queued, int limit, long serviceMicros) {

    /** The load of a target nothing is known of. */
    public static final TargetLoad UNKNOWN = new TargetLoad(Temperature.COLD, 0, 0, 1, 0);

    /** Checks the ranges. */
    public TargetLoad {
        if (inFlight < 0 || queued < 0 || limit < 0) {
            throw new IllegalArgumentException(
                    "load must not be negative: inFlight=" + inFlight + " queued=" + queued + " limit=" + limit);
        }
    }

    /** Returns the work at the target and its agent as a fraction of the limit. */
    public double utilization() {
        return (inFlight + queued) / (double) Math.max(1, limit);
    }
}
