package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;

/**
 * Load report of a target.
 *
 * @param bootId random id that the target chose when it started
 * @param temperature temperature stated by the target
 * @param running number of calls running at the target
 * @param queued number of calls queued at the target
 * @param slots number of calls that the target can run concurrently
 * @param ageMillis upper bound of the age of the report on receipt, in milliseconds: the age stated by the target plus
 *     the duration of the request; without the latter, a report from a slow response would appear newer than it is
 */
public record TargetReport(String bootId, Temperature temperature, int running, int queued, int slots, long ageMillis) {

    /** Validates that no value is negative. */
    public TargetReport {
        if (running < 0 || queued < 0 || slots < 0 || ageMillis < 0) {
            throw new IllegalArgumentException("load report values must not be negative: running=" + running
                    + " queued=" + queued + " slots=" + slots + " ageMillis=" + ageMillis);
        }
    }
}
