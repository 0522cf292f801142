package io.masticfold.gateway.stage;

import java.time.Duration;

/** Estimates the load of a stage server from its last reported status and the work sent since. Not thread-safe. */
final class StageServerNotes {

    private static final double NANOS_PER_MILLI = 1e6;

    private double backlogMillis;
    private double onTimeBacklogMillis;
    private long roomBytes;
    private long toldNanos;
    private boolean told;
    private double sentMillis;
    private long sentBytes;
    private long failingUntilNanos;
    private boolean failed;

    void told(double backlog, double onTimeBacklog, long room, long nowNanos) {
        backlogMillis = backlog;
        onTimeBacklogMillis = onTimeBacklog;
        roomBytes = room;
        toldNanos = nowNanos;
        told = true;
        sentMillis = 0;
        sentBytes = 0;
    }

    void sent(double millis, long bytes, long nowNanos) {
        if (!told) {
            toldNanos = nowNanos;
        }
        sentMillis += millis;
        sentBytes += bytes;
    }

    void failed(long untilNanos) {
        failed = true;
        failingUntilNanos = untilNanos;
    }

    boolean failing(long nowNanos) {
        return failed && failingUntilNanos - nowNanos > 0;
    }

    double backlogMillis(boolean onTime, long nowNanos, Duration maxAge) {
        double age = (nowNanos - toldNanos) / NANOS_PER_MILLI;
        if (!told || age > maxAge.toMillis()) {
            return Math.max(0, sentMillis - age);
        }
        return Math.max(0, (onTime ? onTimeBacklogMillis : backlogMillis) + sentMillis - age);
    }

    long roomBytes(long nowNanos, Duration maxAge, long total) {
        boolean fresh = told && nowNanos - toldNanos < maxAge.toNanos();
        return (fresh ? roomBytes : total) - sentBytes;
    }
}
