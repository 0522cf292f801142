package io.masticfold.core.admission;

import io.masticfold.core.placement.PoolForecast;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Decides which requests of this gateway are sent to a pool now, which wait and which are rejected. The load it
 * answers: bursts above the capacity of the pool, in which every request would be late without an order. Used by one
 * thread.
 *
 * @param <T> type of the requests' handles
 */
public final class PoolAdmission<T> {

    private final TimeSource time;
    private final RandomGenerator random;
    private final WaitingRequests<T> waiting = new WaitingRequests<>();
    private final DrainRate drainRate;
    private final EarlyReturns earlyReturns;
    private int inFlight;

    /** Creates an admission without waiting requests. */
    public PoolAdmission(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
        this.drainRate = new DrainRate(time);
        this.earlyReturns = new EarlyReturns(time);
    }

    /** Decides on a request that is to be sent; it is queued if the verdict is to wait. */
    public AdmissionVerdict submit(AdmissionRequest<T> request, AdmissionOutlook outlook) {
        AdmissionVerdict verdict = preview(request, outlook);
        if (verdict instanceof AdmissionVerdict.Send) {
            inFlight++;
        } else if (verdict instanceof AdmissionVerdict.Wait) {
            waiting.add(request, earlyReturns.early(request.fingerprint()));
        }
        return verdict;
    }

    /** Decides on a request as if it were to be sent now, without queueing it; used before its stages. */
    public AdmissionVerdict preview(AdmissionRequest<T> request, AdmissionOutlook outlook) {
        waiting.add(request, earlyReturns.early(request.fingerprint()));
        int ahead = waiting.ordered().indexOf(request);
        waiting.remove(request.handle());
        return decide(request, outlook, ahead);
    }

    /**
     * Removes and returns the next waiting request that is sent or rejected now; empty if all go on waiting. Called
     * until it is empty, since each send changes the forecast.
     *
     * @param outlooks returns the state for a request
     * @param starts sends of this round so far; other gateways see the same free slots, so that each takes its share
     */
    public Optional<Decided<T>> next(Function<T, AdmissionOutlook> outlooks, int starts) {
        Optional<AdmissionRequest<T>> head = waiting.head();
        if (head.isEmpty()) {
            return Optional.empty();
        }
        AdmissionOutlook outlook = outlooks.apply(head.get().handle());
        AdmissionVerdict verdict = decide(head.get(), outlook, 0);
        if (verdict instanceof AdmissionVerdict.Send && withinShare(outlook, starts)) {
            waiting.started(head.get());
            inFlight++;
            return Optional.of(new Decided<>(head.get().handle(), verdict));
        }
        List<AdmissionRequest<T>> ordered = waiting.ordered();
        for (int ahead = 0; ahead < ordered.size(); ahead++) {
            AdmissionRequest<T> request = ordered.get(ahead);
            if (decide(request, outlook, ahead) instanceof AdmissionVerdict.Reject reject) {
                waiting.remove(request.handle());
                RejectReason reason = request.latestStartNanos() - time.nanoTime() <= 0
                        ? RejectReason.WAITED_TOO_LONG
                        : reject.reason();
                return Optional.of(
                        new Decided<>(request.handle(), new AdmissionVerdict.Reject(reason, reject.retryAfter())));
            }
        }
        return Optional.empty();
    }

    private static boolean withinShare(AdmissionOutlook outlook, int starts) {
        if (starts == 0 || outlook.forecast().isEmpty()) {
            return true;
        }
        PoolForecast forecast = outlook.forecast().get();
        return forecast.mostlyIdle() || starts < (forecast.slots() - forecast.running()) / outlook.gateways();
    }

    private AdmissionVerdict decide(AdmissionRequest<T> request, AdmissionOutlook outlook, int ahead) {
        Duration remaining = Duration.ofNanos(Math.max(0, request.deadlineNanos() - time.nanoTime()));
        AdmissionVerdict verdict =
                AdmissionPolicy.decide(request, outlook, ahead, drainTime(request, outlook, ahead), remaining, random);
        if (verdict instanceof AdmissionVerdict.Reject reject) {
            earlyReturns.rejected(request.fingerprint(), reject.retryAfter());
        }
        return verdict;
    }

    /**
     * Returns the time in which the given number of requests is sent. The largest of three rates applies, so that an
     * underestimate rejects nobody: the observed one, that of the slots which this gateway has, and that of its equal
     * share of the slots.
     */
    private Duration drainTime(AdmissionRequest<T> request, AdmissionOutlook outlook, int ahead) {
        long usualNanos = request.usualTime().orElse(Duration.ZERO).toNanos();
        double slots = outlook.forecast().map(this::ownSlots).orElse(0.0);
        double equalShare = outlook.forecast().map(PoolForecast::slots).orElse(0) / (double) outlook.gateways();
        double rate = Math.max(Math.max(slots, equalShare) / Math.max(1, usualNanos), drainRate.perNano());
        return ahead == 0 || rate <= 0 ? Duration.ZERO : Duration.ofNanos((long) (ahead / rate));
    }

    /** Returns the slots that run requests of this gateway, if they are as likely to run as those of others. */
    private double ownSlots(PoolForecast forecast) {
        int atTargets = forecast.running() + forecast.waiting();
        return atTargets == 0 ? 0 : Math.min(1, inFlight / (double) atTargets) * forecast.running();
    }

    /** Removes a request whose caller has left or that has ended; returns whether it waited. */
    public boolean remove(T handle) {
        return waiting.remove(handle);
    }

    /** Records that the pool has answered a request of this gateway. */
    public void recordAnswer() {
        drainRate.recordAnswer();
    }

    /** Records that a request for which the verdict was to send it has ended. */
    public void sentEnded() {
        inFlight--;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return waiting.size();
    }

    /**
     * A request that no longer waits.
     *
     * @param handle its handle
     * @param verdict to send or to reject it
     * @param <T> type of the handle
     */
    public record Decided<T>(T handle, AdmissionVerdict verdict) {}
}
