package io.masticfold.core.routing;

/**
 * Holds the settings of {@link DefaultRouter}.
 *
 * @param spilloverUtilization utilization of the least utilized target in the entry's own availability zone from which
 *     targets in other availability zones are considered too
 * @param affinityLoadFactor multiple of the mean load up to which a target receives the requests of its prompt prefixes
 * @param ejectAfterFailures consecutive failures after which a target is ejected
 * @param ejectionMillis duration of the first ejection, in milliseconds; doubles with each further one
 * @param maxEjectionMillis longest duration of an ejection, in milliseconds
 * @param maxEjectedShare largest share of a pool that may be ejected; beyond it ejections are ignored, so that a
 *     misleading signal cannot eject the whole pool
 */
public record RouterSettings(
        double spilloverUtilization,
        double affinityLoadFactor,
        int ejectAfterFailures,
        long ejectionMillis,
        long maxEjectionMillis,
        double maxEjectedShare) {

    /** Default settings. */
    public static final RouterSettings DEFAULT = new RouterSettings(0.8, 1.25, 5, 2_000, 30_000, 0.5);

    /** Validates the ranges. */
    public RouterSettings {
        if (maxEjectedShare < 0 || maxEjectedShare > 1) {
            throw new IllegalArgumentException("maxEjectedShare must be 0 to 1: " + maxEjectedShare);
        }
        if (ejectAfterFailures < 1) {
            throw new IllegalArgumentException("ejectAfterFailures must be at least 1: " + ejectAfterFailures);
        }
    }
}
