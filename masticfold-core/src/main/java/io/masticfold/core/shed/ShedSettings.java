package io.masticfold.core.shed;

/**
 * Holds the settings of load shedding.
 *
 * @param windowMillis interval between adjustments, in milliseconds
 * @param targetUtilization intended number of attempts in flight and queued at the targets of an overloaded pool, as a
 *     multiple of their limits; above 1, so that the agents' queues hold requests to choose from by priority
 * @param overloadShare share of attempts refused or timed out for lack of capacity above which they raise the pressure
 * @param gain factor from the pressure above 1 to the relative decrease of the admitted share in one window
 * @param decreaseLeast smallest factor by which the admitted share may be multiplied in one window
 * @param increase additive increase of the admitted share in a window without pressure
 * @param growth relative increase of the admitted share in a window without pressure
 * @param floor smallest admitted share, so that attempts continue and show when the pool recovers
 */
public record ShedSettings(
        long windowMillis,
        double targetUtilization,
        double overloadShare,
        double gain,
        double decreaseLeast,
        double increase,
        double growth,
        double floor) {

    /** Default settings. */
    public static final ShedSettings DEFAULT = new ShedSettings(100, 4, 0.05, 0.5, 0.8, 0.02, 0.1, 0.02);

    /** Validates the ranges. */
    public ShedSettings {
        if (windowMillis < 1) {
            throw new IllegalArgumentException("windowMillis must be at least 1: " + windowMillis);
        }
        if (!(targetUtilization >= 1)) {
            throw new IllegalArgumentException("targetUtilization must be at least 1: " + targetUtilization);
        }
        if (floor <= 0 || floor > 1) {
            throw new IllegalArgumentException("floor must be above 0 and at most 1: " + floor);
        }
    }
}
