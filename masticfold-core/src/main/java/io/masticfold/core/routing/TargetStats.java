package io.masticfold.core.routing;

import io.masticfold.core.attempt.TargetLoad;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Statistics of one entry about one target: its in-flight attempts, reported load, latency and failures. */
final class TargetStats {

    private static final double LATENCY_SMOOTHING = 0.2;
    private static final int MAX_DOUBLINGS = 10;

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private volatile Report report = new Report(TargetLoad.UNKNOWN, 0);
    private volatile double latencyNanos;
    private volatile Ejection ejection = Ejection.NONE;

    /** Counts an attempt as in flight. */
    void acquire() {
        inFlight.incrementAndGet();
    }

    /** Ends an attempt and records the load reported with its answer. */
    void release(TargetLoad load) {
        int local = inFlight.decrementAndGet();
        report = new Report(load, local);
    }

    /** Records the load reported by a heartbeat. */
    void recordLoad(TargetLoad load) {
        if (!load.equals(report.load())) {
            report = new Report(load, inFlight.get());
        }
    }

    /** Adds the duration of a completed attempt to the moving average; concurrent calls may lose a sample. */
    void recordCompletion(long elapsedNanos) {
        consecutiveFailures.set(0);
        ejection = ejection.ended() ? Ejection.NONE : ejection;
        double average = latencyNanos;
        latencyNanos = average == 0 ? elapsedNanos : average + LATENCY_SMOOTHING * (elapsedNanos - average);
    }

    /** Records a failed attempt and ejects the target after too many consecutive failures. */
    void recordFailure(RouterSettings settings, long nowNanos) {
        if (consecutiveFailures.incrementAndGet() < settings.ejectAfterFailures()) {
            return;
        }
        consecutiveFailures.set(0);
        int doublings = Math.min(MAX_DOUBLINGS, ejection.count());
        long millis = Math.min(settings.maxEjectionMillis(), settings.ejectionMillis() << doublings);
        ejection = new Ejection(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis), ejection.count() + 1, false);
    }

    /** Returns whether the target is ejected. */
    boolean ejected(long nowNanos) {
        Ejection current = ejection;
        if (current.count() == 0 || current.ended()) {
            return false;
        }
        if (current.untilNanos() - nowNanos > 0) {
            return true;
        }
        ejection = new Ejection(current.untilNanos(), current.count(), true);
        return false;
    }

    /** Returns the reported load. */
    TargetLoad load() {
        return report.load();
    }

    /** Returns the number of in-flight attempts of this entry. */
    int localInFlight() {
        return inFlight.get();
    }

    /**
     * Returns the estimated number of attempts at the target: those reported, plus the net change of this entry's
     * in-flight attempts since the report, but at least the number of this entry's in-flight attempts.
     */
    int estimatedAttempts() {
        Report last = report;
        int reported = last.load().inFlight() + last.load().queued();
        return Math.max(inFlight.get(), reported + inFlight.get() - last.localInFlight());
    }

    /** Returns the estimated number of attempts at the target as a multiple of its concurrency limit. */
    double utilization() {
        return estimatedAttempts() / (double) Math.max(1, report.load().limit());
    }

    /** Returns the moving average of the attempt duration, in nanoseconds, 0 if there is no sample. */
    double latencyNanos() {
        return latencyNanos;
    }

    private record Report(TargetLoad load, int localInFlight) {}

    private record Ejection(long untilNanos, int count, boolean ended) {
        static final Ejection NONE = new Ejection(0, 0, true);
    }
}
