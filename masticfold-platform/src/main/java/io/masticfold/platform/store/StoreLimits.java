package io.masticfold.platform.store;

/**
 * Bounds the calls of one process to the object API.
 *
 * @param callsPerSecond sustained rate of calls
 * @param burst calls that may go out at once above the rate
 */
public record StoreLimits(double callsPerSecond, int burst) {

    /** Half of the few hundred writes a second the object API sustains: any one of a few entries may take that much. */
    public static final StoreLimits DEFAULT = new StoreLimits(150, 150);

    /** Checks the ranges. */
    public StoreLimits {
        if (!(callsPerSecond > 0)) {
            throw new IllegalArgumentException("callsPerSecond must be a positive number: " + callsPerSecond);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst must be at least 1: " + burst);
        }
    }
}
