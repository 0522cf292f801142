package io.masticfold.core.admission;

import io.masticfold.core.placement.PoolForecast;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** One gateway and a pool that runs a fixed number of requests at a time, each for the same time, in virtual time. */
final class SimulatedPool {

    static final int SLOTS = 8;
    static final Duration SERVICE_TIME = Duration.ofMillis(100);

    /** Answers of the pool in one second. */
    static final int CAPACITY = 80;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(40);

    final ManualScheduler time = new ManualScheduler();
    final PoolAdmission<Call> admission = new PoolAdmission<>(time, new Random(7));
    final List<Call> inTime = new ArrayList<>();
    final List<Call> late = new ArrayList<>();
    final List<Call> rejected = new ArrayList<>();
    int rejectedWhileIdle;

    /** Told of each rejection, after it has been counted. */
    Consumer<Call> onReject = _call -> {};

    Optional<Duration> usual = Optional.of(SERVICE_TIME);
    Duration loopDelay = Duration.ZERO;
    int running;
    final Deque<Call> atTargets = new ArrayDeque<>();

    /** A request of a caller. */
    static final class Call {
        final String fingerprint;
        final int priority;
        final String workspace;
        final long deadlineNanos;
        Duration retryAfter = Duration.ZERO;

        Call(String fingerprint, int priority, String workspace, long deadlineNanos) {
            this.fingerprint = fingerprint;
            this.priority = priority;
            this.workspace = workspace;
            this.deadlineNanos = deadlineNanos;
        }
    }

    SimulatedPool() {
        time.schedule(CHECK_INTERVAL, this::tick);
    }

    private void tick() {
        check();
        time.schedule(CHECK_INTERVAL, this::tick);
    }

    Call call(String fingerprint, int priority, String workspace, Duration window) {
        return new Call(fingerprint, priority, workspace, time.nanoTime() + window.toNanos());
    }

    AdmissionVerdict submit(Call call) {
        AdmissionVerdict verdict = admission.submit(
                new AdmissionRequest<>(
                        call, call.priority, call.workspace, call.fingerprint, usual, call.deadlineNanos),
                outlook(call));
        apply(call, verdict);
        return verdict;
    }

    AdmissionOutlook outlook(Call _call) {
        int ahead = Math.max(0, running + atTargets.size() + 1 - SLOTS);
        Duration start = SERVICE_TIME.multipliedBy(ahead).dividedBy(SLOTS);
        return new AdmissionOutlook(
                Optional.of(new PoolForecast(SLOTS, running, atTargets.size(), start, start.plus(SERVICE_TIME))),
                loopDelay,
                1);
    }

    void check() {
        int starts = 0;
        for (Optional<PoolAdmission.Decided<Call>> decided = admission.next(this::outlook, starts);
                decided.isPresent();
                decided = admission.next(this::outlook, starts)) {
            if (decided.get().verdict() instanceof AdmissionVerdict.Send) {
                starts++;
            }
            apply(decided.get().handle(), decided.get().verdict());
        }
    }

    private void apply(Call call, AdmissionVerdict verdict) {
        if (verdict instanceof AdmissionVerdict.Send) {
            atTargets.add(call);
            startAtTarget();
        } else if (verdict instanceof AdmissionVerdict.Reject reject) {
            rejected.add(call);
            call.retryAfter = reject.retryAfter();
            if (running < SLOTS && atTargets.isEmpty() && admission.waiting() == 0) {
                rejectedWhileIdle++;
            }
            onReject.accept(call);
        }
    }

    private void startAtTarget() {
        while (running < SLOTS && !atTargets.isEmpty()) {
            Call call = atTargets.poll();
            running++;
            time.schedule(SERVICE_TIME, () -> {
                running--;
                (time.nanoTime() <= call.deadlineNanos ? inTime : late).add(call);
                startAtTarget();
                admission.recordAnswer();
                admission.sentEnded();
                check();
            });
        }
    }
}
