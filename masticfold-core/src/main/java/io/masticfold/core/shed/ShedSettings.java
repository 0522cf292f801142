package io.masticfold.core.shed;

/**
 * Holds the settings of load shedding.
 *
 * @param windowMillis time between two adjustments, in milliseconds
 * @param targetUtilization work in flight and waiting at the targets of an overloaded pool, as a multiple of their
 *     limits; above 1, so that the queues at the gates stay filled and their order by priority makes the finer choice
 * @param overloadShare share of attempts refused or timed out for lack of capacity above which they count as pressure
 * @param gain part of the excess pressure by which the admitted share falls in one window
 * @param decreaseLeast least factor applied to the admitted share in one window
 * @param increase part added to the admitted share in a window without pressure
 * @param growth part of the admitted share added to it in a window without pressure
 * @param floor least admitted share, so that recovery is always noticed
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

    /** The settings used unless others are given. */
    public static final ShedSettings DEFAULT = new ShedSettings(100, 4, 0.05, 0.5, 0.8, 0.02, 0.1, 0.02);

    /** Checks the ranges. */
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
