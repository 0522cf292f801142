package io.masticfold.core.admission;

import io.masticfold.core.placement.PoolForecast;
import java.time.Duration;
import java.util.random.RandomGenerator;

/** Decides on one request, given the requests that are served before it. */
final class AdmissionPolicy {

    /**
     * Work at the targets up to which more is sent. Gateways know of each other's sends after 100 ms, and waiting
     * requests are examined every 40 ms; with less work than that, slots would run idle.
     */
    static final Duration MAX_BACKLOG = Duration.ofMillis(150);

    /** Callers ignore a longer share of their remaining time. */
    static final int RETRY_SHARE = 3;

    /** Smallest share of the jittered time; callers that are rejected together come back over the rest of it. */
    private static final double MIN_JITTER = 0.75;

    private static final AdmissionVerdict SEND = new AdmissionVerdict.Send();

    private AdmissionPolicy() {}

    /**
     * Decides whether a request is sent, waits or is rejected.
     *
     * @param ahead number of waiting requests that are served before it
     * @param drain time in which these are sent
     * @param remaining time until its deadline
     */
    static AdmissionVerdict decide(
            AdmissionRequest<?> request,
            AdmissionOutlook outlook,
            int ahead,
            Duration drain,
            Duration remaining,
            RandomGenerator random) {
        if (outlook.forecast().isEmpty() || request.usualTime().isEmpty()) {
            return SEND;
        }
        PoolForecast forecast = outlook.forecast().get();
        Duration usual = request.usualTime().get();
        Duration start = timeToStart(forecast, usual);
        boolean free = forecast.waiting() == 0 && forecast.running() < forecast.slots();
        if (forecast.mostlyIdle() || (free && ahead == 0)) {
            return SEND;
        }
        Duration alone = start.plus(usual).plus(outlook.loopDelay());
        if (alone.plus(drain).compareTo(remaining) > 0) {
            RejectReason reason = alone.compareTo(remaining) > 0 ? RejectReason.POOL_BUSY : RejectReason.QUEUE_TOO_LONG;
            return new AdmissionVerdict.Reject(reason, retryAfter(start.plus(drain), remaining, random));
        }
        return ahead == 0 && start.compareTo(MAX_BACKLOG) <= 0
                ? SEND
                : new AdmissionVerdict.Wait(remaining.minus(usual).minus(outlook.loopDelay()));
    }

    /**
     * Returns the time until a target starts a request. Engines are forecast by their unread prompt tokens alone, so
     * once all slots are taken the pool's mean applies if it is longer.
     */
    static Duration timeToStart(PoolForecast forecast, Duration usual) {
        int backlog = forecast.running() + forecast.waiting() + 1 - forecast.slots();
        if (forecast.running() < forecast.slots() || forecast.slots() == 0 || backlog <= 0) {
            return forecast.timeToStart();
        }
        Duration mean = usual.multipliedBy(backlog).dividedBy(forecast.slots());
        return mean.compareTo(forecast.timeToStart()) > 0 ? mean : forecast.timeToStart();
    }

    /** Returns the time in which the work drains, with jitter, at most a third of the time left; at least 1 ms. */
    static Duration retryAfter(Duration drain, Duration remaining, RandomGenerator random) {
        double limit = remaining.toMillis() / (double) RETRY_SHARE;
        double upper = Math.min(drain.toMillis() / MIN_JITTER, limit);
        double jittered = upper * (MIN_JITTER + (1 - MIN_JITTER) * random.nextDouble());
        return Duration.ofMillis(Math.max(1, (long) jittered));
    }
}
