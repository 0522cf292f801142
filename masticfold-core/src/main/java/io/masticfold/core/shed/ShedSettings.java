package io.masticfold.core.shed;

/**
 * Holds the settings of load shedding.
 *
 * @param windowMillis time between two adjustments, in milliseconds
 * @param minimumSamples ended attempts a window needs before it counts
 * @param overloadShare share of overloaded attempts above which a pool counts as overloaded; some overload keeps the
 *     queues at the gates filled, where the order by priority makes the finer choice
 * @param decreaseLeast least factor applied to the admitted share in one window
 * @param increase part added to the admitted share in a window without overload
 * @param growth part of the admitted share added to it in a window without overload
 * @param floor least admitted share, so that recovery is always noticed
 */
public record ShedSettings(
        long windowMillis,
        int minimumSamples,
        double overloadShare,
        double decreaseLeast,
        double increase,
        double growth,
        double floor) {

    /** The settings used unless others are given. */
    public static final ShedSettings DEFAULT = new ShedSettings(100, 10, 0.25, 0.7, 0.01, 0.05, 0.02);

    /** Checks the ranges. */
    public ShedSettings {
        if (windowMillis < 1 || minimumSamples < 1) {
            throw new IllegalArgumentException(
                    "window and samples must be at least 1: " + windowMillis + ", " + minimumSamples);
        }
        if (floor <= 0 || floor > 1) {
            throw new IllegalArgumentException("floor must be above 0 and at most 1: " + floor);
        }
    }
}
