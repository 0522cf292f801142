package io.masticfold.core.gate;

import io.masticfold.core.attempt.Temperature;

/**
 * Holds a load report of a target.
 *
 * @param bootId id the target drew when it started
 * @param temperature how warm the target says it is
 * @param running calls running at the target
 * @param queued calls waiting at the target
 * @param slots calls the target can run at once
 * @param ageMillis most the figures can be old when the report is received, in milliseconds: the age the target states
 *     plus the time its answer took; a report whose answer was slow would otherwise count as newer than it is
 */
public record TargetReport(String bootId, Temperature temperature, int running, int queued, int slots, long ageMillis) {

    /** Checks the ranges. */
    public TargetReport {
        if (running < 0 || queued < 0 || slots < 0 || ageMillis < 0) {
            throw new IllegalArgumentException("report must not be negative: running=" + running + " queued=" + queued
                    + " slots=" + slots + " ageMillis=" + ageMillis);
        }
    }
}
