package io.masticfold.platform.store;

/**
 * Rate limits for the calls of one process to the object API.
 *
 * @param callsPerSecond sustained rate of calls
 * @param burst maximum number of calls in a burst
 */
public record StoreLimits(double callsPerSecond, int burst) {

    /**
     * Half of the few hundred writes per second that the object API sustains; each of the few entries may use that
     * much.
     */
    public static final StoreLimits DEFAULT = new StoreLimits(150, 150);

    /** Validates the limits. */
    public StoreLimits {
        if (!(callsPerSecond > 0)) {
            throw new IllegalArgumentException("callsPerSecond must be a positive number: " + callsPerSecond);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst must be at least 1: " + burst);
        }
    }
}
