package io.masticfold.core.gate;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.AttemptLedger;
import io.masticfold.core.attempt.AttemptState;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageHandler;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.model.Contract;
import io.masticfold.core.telemetry.CoreEvent;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controls the admission of attempts to the target that the agent serves. All entries send their attempts for this
 * target through the same gate, so only the gate can ensure that no attempt runs twice, that a refused attempt never
 * runs, and that the target's concurrency limit is respected.
 *
 * <p>Thread-safe. All decisions are made under a single lock that is held only briefly; listeners and the target client
 * are called after the lock has been released.
 */
public final class AgentGate implements StageHandler {

    private static final Logger LOGGER = LoggerFactory.getLogger(AgentGate.class);
    private static final Duration MAX_BUDGET = Duration.ofMillis(Contract.MAX_WINDOW_MILLIS);

    private final Object lock = new Object();
    private final AgentGateSettings settings;
    private final TargetClient client;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final AdmissionChecks checks;
    private final DeferredActions actions;
    private final Map<AttemptId, AttemptRun> activeRuns = new ConcurrentHashMap<>();
    private final AttemptLedger ledger;
    private final AttemptQueue queue = new AttemptQueue();
    private final ConcurrencyLimit concurrencyLimit;
    private int reservedSlots;
    private int runningCalls;
    private long arrivals;
    private volatile TargetLoad load = TargetLoad.UNKNOWN;

    /** Creates a gate with an empty ledger; the target is assumed to be cold. */
    public AgentGate(
            AgentGateSettings settings,
            ConfigReplica config,
            TargetClient client,
            Scheduler scheduler,
            Telemetry telemetry) {
        this.settings = settings;
        this.client = client;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.checks = new AdmissionChecks(settings, config, scheduler);
        this.actions = new DeferredActions(telemetry);
        this.ledger = new AttemptLedger(settings.ledger(), scheduler);
        this.concurrencyLimit = new ConcurrencyLimit(scheduler.nanoTime());
        config.addListener(_snapshot -> recheckQueue());
        recheckQueue();
    }

    /** Returns the current load of the target as known to the gate. */
    public TargetLoad load() {
        return load;
    }

    /** Returns the number of attempts that hold a concurrency slot, including those whose call is about to start. */
    public int inFlight() {
        return load.inFlight();
    }

    /** Starts draining: refuses new and queued attempts, while calls in progress run to completion. */
    public void startLeaving() {
        checks.startLeaving();
        recheckQueue();
    }

    /** Processes a load report of the target. */
    public void report(TargetReport report) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            reportTurnedCold(concurrencyLimit.onReport(report, scheduler.nanoTime()), deferred);
            reserveSlots(deferred);
            publishLoad();
        }
        actions.run(deferred);
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            admit(new AttemptRun(this, dispatch, listener, deadlineFor(dispatch), arrivals++), deferred);
            publishLoad();
        }
        actions.run(deferred);
    }

    @Override
    public void cancel(AttemptId attempt) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            AttemptRun run = activeRuns.get(attempt);
            if (run != null && run.phase().waiting()) {
                refuse(run, ErrorKind.CANCELLED, deferred);
                reserveSlots(deferred);
            } else if (run != null && run.dispatch().idempotent()) {
                deferred.add(run.callHandle()::cancel);
            }
            publishLoad();
        }
        actions.run(deferred);
    }

    @Override
    public void grant(AttemptId attempt, int bytes) {
        AttemptRun run = activeRuns.get(attempt);
        if (run != null && bytes > 0) {
            run.callHandle().grant(bytes);
        }
    }

    @Override
    public void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            SealOutcome outcome =
                    agent.equals(settings.incarnation()) ? ledger.seal(attempt) : ledger.sealOtherIncarnation(attempt);
            AttemptRun run = activeRuns.get(attempt);
            if (run != null && run.phase().waiting()) {
                release(run);
                answer(run, refusal(ErrorKind.SEALED), deferred);
                reserveSlots(deferred);
            }
            deferred.add(() -> reply.accept(outcome));
            publishLoad();
        }
        actions.run(deferred);
    }

    /** Handles the successful end of a call. */
    void completed(AttemptRun run, Payload result) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            if (run.phase() == RunPhase.RUNNING) {
                CallTimes times = run.times(scheduler.nanoTime());
                int inFlight = runningCalls + reservedSlots;
                release(run);
                ledger.complete(run.attempt(), result);
                reportTurnedCold(concurrencyLimit.onSuccess(times, inFlight, checks.targetBounds()), deferred);
                answer(run, new StageCompleted(result, times.elapsedMicros()), deferred);
                reserveSlots(deferred);
                publishLoad();
            }
        }
        actions.run(deferred);
    }

    /** Handles the failure of a call. */
    void failed(AttemptRun run, ErrorKind kind, Ran ran) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            if (run.phase() == RunPhase.RUNNING) {
                reportTurnedCold(
                        concurrencyLimit.onFailure(run.times(scheduler.nanoTime()), kind, checks.targetBounds()),
                        deferred);
                if (ran == Ran.NO) {
                    refuse(run, kind, deferred);
                } else {
                    release(run);
                    ledger.fail(run.attempt());
                    answer(run, new StageFailed(kind, ran), deferred);
                }
                reserveSlots(deferred);
                publishLoad();
            }
        }
        actions.run(deferred);
    }

    private void admit(AttemptRun run, List<Runnable> deferred) {
        AttemptId attempt = run.attempt();
        boolean idempotent = run.dispatch().idempotent();
        AttemptState state = ledger.state(attempt);
        if (state != AttemptState.NEW) {
            answer(run, duplicateOutcome(state), deferred);
            return;
        }
        ErrorKind reason = ledger.full() ? ErrorKind.OVERLOADED : checks.refusalReason(run.dispatch(), run.deadline());
        if (reason == ErrorKind.STALE_INCARNATION) {
            ledger.recordOtherIncarnation(attempt, idempotent);
            answer(run, new StageFailed(reason, Ran.UNKNOWN), deferred);
        } else if (reason != null) {
            refuse(run, reason, deferred);
        } else {
            ledger.accept(attempt, idempotent);
            activeRuns.put(attempt, run);
            enqueue(run, deferred);
        }
    }

    private void enqueue(AttemptRun run, List<Runnable> deferred) {
        queue.add(run);
        reserveSlots(deferred);
        trimQueue(deferred);
        if (run.phase() == RunPhase.QUEUED) {
            deferred.add(() -> scheduleExpiry(run));
        }
    }

    private void trimQueue(List<Runnable> deferred) {
        while (queue.size() > checks.targetBounds().queueLimit()) {
            AttemptRun dropped = queue.removeLast();
            boolean warm = concurrencyLimit.temperature(checks.targetBounds()).warm();
            refuse(dropped, warm ? ErrorKind.QUEUE_FULL : ErrorKind.TARGET_COLD, deferred);
        }
    }

    /** Reserves free concurrency slots for the attempts at the head of the queue and schedules their start. */
    private void reserveSlots(List<Runnable> deferred) {
        int limit = concurrencyLimit.limit(checks.targetBounds());
        while (runningCalls + reservedSlots < limit && queue.size() > 0) {
            AttemptRun run = queue.removeFirst();
            run.phase(RunPhase.RESERVED);
            reservedSlots++;
            deferred.add(() -> start(run));
        }
    }

    /** Repeats the admission checks and calls the target, unless the attempt has been sealed or cancelled meanwhile. */
    private void start(AttemptRun run) {
        List<Runnable> deferred = new ArrayList<>();
        boolean begun;
        synchronized (lock) {
            begun = run.phase() == RunPhase.RESERVED && beginCall(run, deferred);
            publishLoad();
        }
        if (begun) {
            call(run);
        }
        actions.run(deferred);
    }

    /**
     * Repeats the checks immediately before the call: since the slot was reserved, the process may have been suspended,
     * and the configuration or the limit may have changed.
     *
     * @return whether the call may start
     */
    private boolean beginCall(AttemptRun run, List<Runnable> deferred) {
        ErrorKind reason = checks.refusalReason(run.dispatch(), run.deadline());
        if (reason != null) {
            refuse(run, reason, deferred);
            reserveSlots(deferred);
            return false;
        }
        reservedSlots--;
        if (runningCalls >= concurrencyLimit.limit(checks.targetBounds())) {
            run.phase(RunPhase.QUEUED);
            queue.add(run);
            trimQueue(deferred);
            deferred.add(() -> scheduleExpiry(run));
            return false;
        }
        ledger.begin(run.attempt());
        run.begin(concurrencyLimit.epoch(), scheduler.nanoTime());
        runningCalls++;
        return true;
    }

    /** Calls the target, after a final check in case the process was suspended after the checks under the lock. */
    private void call(AttemptRun run) {
        run.cancelExpiryTimer();
        ErrorKind reason = checks.refusalReason(run.dispatch(), run.deadline());
        if (reason != null) {
            failed(run, reason, Ran.NO);
            return;
        }
        Duration budget = run.deadline().remaining(scheduler);
        Duration allowed = run.dispatch().idempotent() ? budget : budget.plus(settings.lateResultGrace());
        try {
            run.callHandle().attach(client.call(run.dispatch(), allowed, run));
        } catch (RuntimeException e) {
            telemetry.count("target_client_failed");
            CoreEvent.TARGET_CLIENT_FAILED.log(LOGGER, run.attempt(), e);
            failed(run, ErrorKind.INTERNAL, Ran.UNKNOWN);
        }
    }

    /** Refuses queued attempts that are no longer admissible, so that their senders are answered immediately. */
    private void recheckQueue() {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            for (AttemptRun run : queue.copy()) {
                ErrorKind reason = checks.refusalReason(run.dispatch(), run.deadline());
                if (reason != null) {
                    refuse(run, reason, deferred);
                }
            }
            trimQueue(deferred);
            reserveSlots(deferred);
            publishLoad();
        }
        actions.run(deferred);
    }

    private void scheduleExpiry(AttemptRun run) {
        run.cancelExpiryTimer();
        if (!run.phase().waiting()) {
            return;
        }
        long spareNanos = run.deadline().remainingNanos(scheduler) - AdmissionChecks.minimumNanos(run.dispatch());
        run.setExpiryTimer(scheduler.schedule(Duration.ofNanos(Math.max(0, spareNanos) + 1), () -> expire(run)));
    }

    private void expire(AttemptRun run) {
        List<Runnable> deferred = new ArrayList<>();
        synchronized (lock) {
            ErrorKind reason = checks.budgetRefusalReason(run.dispatch(), run.deadline());
            if (run.phase().waiting() && reason != null) {
                refuse(run, reason, deferred);
                reserveSlots(deferred);
                publishLoad();
            } else if (run.phase().waiting()) {
                deferred.add(() -> scheduleExpiry(run));
            }
        }
        actions.run(deferred);
    }

    /** Records an attempt as not run and answers it with a refusal. */
    private void refuse(AttemptRun run, ErrorKind reason, List<Runnable> deferred) {
        ledger.refuse(run.attempt(), run.dispatch().idempotent());
        release(run);
        answer(run, refusal(reason), deferred);
    }

    /** Releases the queue position or concurrency slot of an attempt and marks it as ended. */
    private void release(AttemptRun run) {
        if (run.phase() == RunPhase.QUEUED) {
            queue.remove(run);
        } else if (run.phase() == RunPhase.RESERVED) {
            reservedSlots--;
        } else if (run.phase() == RunPhase.RUNNING) {
            runningCalls--;
        }
        run.phase(RunPhase.ENDED);
        activeRuns.remove(run.attempt(), run);
    }

    private void answer(AttemptRun run, StageOutcome outcome, List<Runnable> deferred) {
        deferred.add(() -> {
            run.cancelExpiryTimer();
            if (outcome instanceof StageRefused refused) {
                telemetry.refused(refused.kind());
            }
            run.listener().outcome(outcome, load);
        });
    }

    private void reportTurnedCold(boolean turnedCold, List<Runnable> deferred) {
        if (turnedCold) {
            deferred.add(() -> {
                telemetry.count("target_turned_cold");
                CoreEvent.TARGET_TURNED_COLD.log(LOGGER, settings.target(), load.limit());
            });
        }
    }

    private StageRefused refusal(ErrorKind reason) {
        TargetLoad now = currentLoad();
        return new StageRefused(reason, RetryAfterSupport.estimate(reason, now, settings.maxRetryAfter()));
    }

    private static StageOutcome duplicateOutcome(AttemptState state) {
        return state.provablyNotRun()
                ? new StageRefused(
                        state == AttemptState.SEALED ? ErrorKind.SEALED : ErrorKind.DUPLICATE_ATTEMPT, Duration.ZERO)
                : new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN);
    }

    /** Returns the deadline given by the budget of a dispatch, limited to {@link #MAX_BUDGET}. */
    private Deadline deadlineFor(StageDispatch dispatch) {
        Duration budget = Duration.of(Math.max(0, dispatch.budgetMicros()), ChronoUnit.MICROS);
        return Deadline.after(scheduler, budget.compareTo(MAX_BUDGET) > 0 ? MAX_BUDGET : budget);
    }

    private void publishLoad() {
        load = currentLoad();
    }

    private TargetLoad currentLoad() {
        TargetBounds bounds = checks.targetBounds();
        return new TargetLoad(
                concurrencyLimit.temperature(bounds),
                runningCalls + reservedSlots,
                queue.size(),
                concurrencyLimit.limit(bounds),
                TimeUnit.NANOSECONDS.toMicros(concurrencyLimit.meanServiceNanos()));
    }
}
