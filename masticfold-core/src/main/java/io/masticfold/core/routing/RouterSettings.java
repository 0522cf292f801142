package io.masticfold.core.routing;

/**
 * Holds the settings of {@link DefaultRouter}.
 *
 * @param spillUtilization utilization of the best target in the entry's own availability zone above which targets in
 *     other availability zones are considered too
 * @param affinityBound a target keeps requests of its prefixes while its load is at most this multiple of the mean
 * @param ejectAfterFailures consecutive failures that eject a target
 * @param ejectionMillis time of the first ejection, in milliseconds; doubled for each further one
 * @param maxEjectionMillis longest ejection, in milliseconds
 * @param maxEjectedShare largest share of a pool that may be ejected at once, so that a bad signal cannot eject all
 */
public record RouterSettings(
        double spillUtilization,
        double affinityBound,
        int ejectAfterFailures,
        long ejectionMillis,
        long maxEjectionMillis,
        double maxEjectedShare) {

    /** The settings used unless others are given. */
    public static final RouterSettings DEFAULT = new RouterSettings(0.8, 1.25, 5, 2_000, 30_000, 0.5);

    /** Checks the ranges. */
    public RouterSettings {
        if (maxEjectedShare < 0 || maxEjectedShare > 1) {
            throw new IllegalArgumentException("maxEjectedShare must be 0 to 1: " + maxEjectedShare);
        }
        if (ejectAfterFailures < 1) {
            throw new IllegalArgumentException("ejectAfterFailures must be at least 1: " + ejectAfterFailures);
        }
    }
}
