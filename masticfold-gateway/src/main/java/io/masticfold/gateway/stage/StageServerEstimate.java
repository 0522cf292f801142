package io.masticfold.gateway.stage;

import java.time.Duration;

/** Estimates the load of a stage server from its last reported status and the work sent since. Not thread-safe. */
final class StageServerEstimate {

    private static final double NANOS_PER_MILLI = 1e6;

    private double backlogMillis;
    private double onTimeBacklogMillis;
    private long freeBytes;
    private long reportedNanos;
    private boolean reported;
    private double sentMillis;
    private long sentBytes;
    private long failingUntilNanos;
    private boolean failingUntilSet;

    void recordStatus(double newBacklogMillis, double newOnTimeBacklogMillis, long newFreeBytes, long nowNanos) {
        backlogMillis = newBacklogMillis;
        onTimeBacklogMillis = newOnTimeBacklogMillis;
        freeBytes = newFreeBytes;
        reportedNanos = nowNanos;
        reported = true;
        sentMillis = 0;
        sentBytes = 0;
    }

    void recordSent(double millis, long bytes, long nowNanos) {
        if (!reported) {
            reportedNanos = nowNanos;
        }
        sentMillis += millis;
        sentBytes += bytes;
    }

    void markFailing(long untilNanos) {
        failingUntilSet = true;
        failingUntilNanos = untilNanos;
    }

    boolean failing(long nowNanos) {
        return failingUntilSet && failingUntilNanos - nowNanos > 0;
    }

    double backlogMillis(boolean onTime, long nowNanos, Duration maxAge) {
        double age = (nowNanos - reportedNanos) / NANOS_PER_MILLI;
        if (!reported || age > maxAge.toMillis()) {
            return Math.max(0, sentMillis - age);
        }
        return Math.max(0, (onTime ? onTimeBacklogMillis : backlogMillis) + sentMillis - age);
    }

    long freeBytes(long nowNanos, Duration maxAge, long total) {
        boolean fresh = reported && nowNanos - reportedNanos < maxAge.toNanos();
        return (fresh ? freeBytes : total) - sentBytes;
    }
}
