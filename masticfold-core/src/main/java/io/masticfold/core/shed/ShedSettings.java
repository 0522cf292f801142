package io.masticfold.core.shed;

/**
 * Holds the settings of load shedding.
 *
 * @param windowMillis interval between adjustments, in milliseconds
 * @param targetUtilization intended number of attempts in flight and queued at the targets of an overloaded pool, as a
 *     multiple of their limits; above 1, so that the agents' queues hold requests to choose from by priority
 * @param overloadThreshold share of attempts refused or timed out for lack of capacity above which they raise the
 *     pressure
 * @param decreaseGain factor from the pressure above 1 to the relative decrease of the admitted share in one window
 * @param minDecreaseFactor smallest factor by which the admitted share may be multiplied in one window
 * @param additiveIncrease additive increase of the admitted share in a window without pressure
 * @param relativeIncrease relative increase of the admitted share in a window without pressure
 * @param minAdmittedShare smallest admitted share, so that attempts continue and show when the pool recovers
 */
public record ShedSettings(
        long windowMillis,
        double targetUtilization,
        double overloadThreshold,
        double decreaseGain,
        double minDecreaseFactor,
        double additiveIncrease,
        double relativeIncrease,
        double minAdmittedShare) {

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
        if (minAdmittedShare <= 0 || minAdmittedShare > 1) {
            throw new IllegalArgumentException("minAdmittedShare must be above 0 and at most 1: " + minAdmittedShare);
        }
    }
}
