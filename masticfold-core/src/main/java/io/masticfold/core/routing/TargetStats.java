package io.masticfold.core.routing;

import io.masticfold.core.attempt.TargetLoad;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks what one entry knows of one target: own attempts in flight, reported load, service time and failures. */
final class TargetStats {

    private static final double LATENCY_WEIGHT = 0.2;
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

    /** Ends an attempt and takes the load its answer carried. */
    void release(TargetLoad load) {
        int own = inFlight.decrementAndGet();
        report = new Report(load, own);
    }

    /** Takes a load reported by a heartbeat. */
    void heard(TargetLoad load) {
        if (!load.equals(report.load())) {
            report = new Report(load, inFlight.get());
        }
    }

    /** Folds the time of a completed attempt into the moving average; concurrent updates may lose one sample. */
    void completed(long elapsedNanos) {
        consecutiveFailures.set(0);
        ejection = ejection.ended() ? Ejection.NONE : ejection;
        double before = latencyNanos;
        latencyNanos = before == 0 ? elapsedNanos : before + LATENCY_WEIGHT * (elapsedNanos - before);
    }

    /** Counts a failure; ejects the target when there were enough in a row. */
    void failed(RouterSettings settings, long nowNanos) {
        if (consecutiveFailures.incrementAndGet() < settings.ejectAfterFailures()) {
            return;
        }
        consecutiveFailures.set(0);
        int doublings = Math.min(MAX_DOUBLINGS, ejection.count());
        long millis = Math.min(settings.maxEjectionMillis(), settings.ejectionMillis() << doublings);
        ejection = new Ejection(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis), ejection.count() + 1, false);
    }

    /** Returns whether the target is ejected now. */
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

    /** Returns the attempts of this entry in flight. */
    int ownInFlight() {
        return inFlight.get();
    }

    /** Returns the estimated work at the target: what it last reported, and what this entry has sent since. */
    int work() {
        Report last = report;
        int reported = last.load().inFlight() + last.load().queued();
        return Math.max(inFlight.get(), reported + inFlight.get() - last.ownInFlight());
    }

    /** Returns the estimated work as a fraction of the limit. */
    double utilization() {
        return work() / (double) Math.max(1, report.load().limit());
    }

    /** Returns the moving average of the attempt time, in nanoseconds, 0 if none is known. */
    double latencyNanos() {
        return latencyNanos;
    }

    private record Report(TargetLoad load, int ownInFlight) {}

    private record Ejection(long untilNanos, int count, boolean ended) {
        static final Ejection NONE = new Ejection(0, 0, true);
    }
}
