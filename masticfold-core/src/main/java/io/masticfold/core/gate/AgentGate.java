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
    private final GateChecks checks;
    private final GateActions actions;
    private final Map<AttemptId, GateRun> active = new ConcurrentHashMap<>();
    private final AttemptLedger ledger;
    private final GateQueue queue = new GateQueue();
    private final GateLimits limits;
    private int reserved;
    private int running;
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
        this.checks = new GateChecks(settings, config, scheduler);
        this.actions = new GateActions(telemetry);
        this.ledger = new AttemptLedger(settings.ledger(), scheduler);
        this.limits = new GateLimits(scheduler.nanoTime());
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
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            noteCold(limits.report(report, scheduler.nanoTime()), after);
            pump(after);
            publish();
        }
        actions.run(after);
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            admit(new GateRun(this, dispatch, listener, deadline(dispatch), arrivals++), after);
            publish();
        }
        actions.run(after);
    }

    @Override
    public void cancel(AttemptId attempt) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            GateRun run = active.get(attempt);
            if (run != null && run.phase().waiting()) {
                refuse(run, ErrorKind.CANCELLED, after);
                pump(after);
            } else if (run != null && run.dispatch().idempotent()) {
                after.add(run.call()::cancel);
            }
            publish();
        }
        actions.run(after);
    }

    @Override
    public void grant(AttemptId attempt, int bytes) {
        GateRun run = active.get(attempt);
        if (run != null && bytes > 0) {
            run.call().grant(bytes);
        }
    }

    @Override
    public void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            SealOutcome outcome =
                    agent.equals(settings.incarnation()) ? ledger.seal(attempt) : ledger.sealForeign(attempt);
            GateRun run = active.get(attempt);
            if (run != null && run.phase().waiting()) {
                withdraw(run);
                answer(run, refusal(ErrorKind.SEALED), after);
                pump(after);
            }
            after.add(() -> reply.accept(outcome));
            publish();
        }
        actions.run(after);
    }

    /** Handles the successful end of a call. */
    void completed(GateRun run, Payload result) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            if (run.phase() == RunPhase.RUNNING) {
                CallTimes times = run.times(scheduler.nanoTime());
                int inFlight = running + reserved;
                withdraw(run);
                ledger.complete(run.attempt(), result);
                noteCold(limits.served(times, inFlight, checks.bounds()), after);
                answer(run, new StageCompleted(result, times.elapsedMicros()), after);
                pump(after);
                publish();
            }
        }
        actions.run(after);
    }

    /** Handles the failure of a call. */
    void failed(GateRun run, ErrorKind kind, Ran ran) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            if (run.phase() == RunPhase.RUNNING) {
                noteCold(limits.failed(run.times(scheduler.nanoTime()), kind, checks.bounds()), after);
                if (ran == Ran.NO) {
                    refuse(run, kind, after);
                } else {
                    withdraw(run);
                    ledger.fail(run.attempt());
                    answer(run, new StageFailed(kind, ran), after);
                }
                pump(after);
                publish();
            }
        }
        actions.run(after);
    }

    private void admit(GateRun run, List<Runnable> after) {
        AttemptId attempt = run.attempt();
        boolean idempotent = run.dispatch().idempotent();
        AttemptState known = ledger.state(attempt);
        if (known != AttemptState.NEW) {
            answer(run, duplicate(known), after);
            return;
        }
        ErrorKind reason = ledger.full() ? ErrorKind.OVERLOADED : checks.refusal(run.dispatch(), run.deadline());
        if (reason == ErrorKind.STALE_INCARNATION) {
            ledger.foreign(attempt, idempotent);
            answer(run, new StageFailed(reason, Ran.UNKNOWN), after);
        } else if (reason != null) {
            refuse(run, reason, after);
        } else {
            ledger.accept(attempt, idempotent);
            active.put(attempt, run);
            enqueue(run, after);
        }
    }

    private void enqueue(GateRun run, List<Runnable> after) {
        queue.add(run);
        pump(after);
        trimQueue(after);
        if (run.phase() == RunPhase.QUEUED) {
            after.add(() -> arm(run));
        }
    }

    private void trimQueue(List<Runnable> after) {
        while (queue.size() > checks.bounds().queue()) {
            GateRun dropped = queue.removeLast();
            boolean warm = limits.temperature(checks.bounds()).warm();
            refuse(dropped, warm ? ErrorKind.QUEUE_FULL : ErrorKind.TARGET_COLD, after);
        }
    }

    /** Reserves free concurrency slots for the attempts at the head of the queue and schedules their start. */
    private void pump(List<Runnable> after) {
        int limit = limits.limit(checks.bounds());
        while (running + reserved < limit && queue.size() > 0) {
            GateRun run = queue.removeFirst();
            run.phase(RunPhase.RESERVED);
            reserved++;
            after.add(() -> start(run));
        }
    }

    /** Repeats the admission checks and calls the target, unless the attempt has been sealed or cancelled meanwhile. */
    private void start(GateRun run) {
        List<Runnable> after = new ArrayList<>();
        boolean go;
        synchronized (lock) {
            go = run.phase() == RunPhase.RESERVED && begin(run, after);
            publish();
        }
        if (go) {
            call(run);
        }
        actions.run(after);
    }

    /**
     * Repeats the checks immediately before the call: since the slot was reserved, the process may have been suspended,
     * and the configuration or the limit may have changed.
     *
     * @return whether the call may start
     */
    private boolean begin(GateRun run, List<Runnable> after) {
        ErrorKind reason = checks.refusal(run.dispatch(), run.deadline());
        if (reason != null) {
            refuse(run, reason, after);
            pump(after);
            return false;
        }
        reserved--;
        if (running >= limits.limit(checks.bounds())) {
            run.phase(RunPhase.QUEUED);
            queue.add(run);
            trimQueue(after);
            after.add(() -> arm(run));
            return false;
        }
        ledger.begin(run.attempt());
        run.begin(limits.epoch(), scheduler.nanoTime());
        running++;
        return true;
    }

    /** Calls the target, after a final check in case the process was suspended after the checks under the lock. */
    private void call(GateRun run) {
        run.disarm();
        ErrorKind late = checks.refusal(run.dispatch(), run.deadline());
        if (late != null) {
            failed(run, late, Ran.NO);
            return;
        }
        Duration budget = run.deadline().remaining(scheduler);
        Duration allowed = run.dispatch().idempotent() ? budget : budget.plus(settings.lateResultGrace());
        try {
            run.call().attach(client.call(run.dispatch(), allowed, run));
        } catch (RuntimeException e) {
            telemetry.count("target_client_failed");
            CoreEvent.TARGET_CLIENT_FAILED.log(LOGGER, run.attempt(), e);
            failed(run, ErrorKind.INTERNAL, Ran.UNKNOWN);
        }
    }

    /** Refuses queued attempts that are no longer admissible, so that their senders are answered immediately. */
    private void recheckQueue() {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            for (GateRun run : queue.copy()) {
                ErrorKind reason = checks.refusal(run.dispatch(), run.deadline());
                if (reason != null) {
                    refuse(run, reason, after);
                }
            }
            trimQueue(after);
            pump(after);
            publish();
        }
        actions.run(after);
    }

    private void arm(GateRun run) {
        run.disarm();
        if (!run.phase().waiting()) {
            return;
        }
        long spareNanos = run.deadline().remainingNanos(scheduler) - GateChecks.minimumNanos(run.dispatch());
        run.arm(scheduler.schedule(Duration.ofNanos(Math.max(0, spareNanos) + 1), () -> expire(run)));
    }

    private void expire(GateRun run) {
        List<Runnable> after = new ArrayList<>();
        synchronized (lock) {
            ErrorKind reason = checks.budgetRefusal(run.dispatch(), run.deadline());
            if (run.phase().waiting() && reason != null) {
                refuse(run, reason, after);
                pump(after);
                publish();
            } else if (run.phase().waiting()) {
                after.add(() -> arm(run));
            }
        }
        actions.run(after);
    }

    /** Records an attempt as not run and answers it with a refusal. */
    private void refuse(GateRun run, ErrorKind reason, List<Runnable> after) {
        ledger.refuse(run.attempt(), run.dispatch().idempotent());
        withdraw(run);
        answer(run, refusal(reason), after);
    }

    /** Releases the queue position or concurrency slot of an attempt and marks it as ended. */
    private void withdraw(GateRun run) {
        if (run.phase() == RunPhase.QUEUED) {
            queue.remove(run);
        } else if (run.phase() == RunPhase.RESERVED) {
            reserved--;
        } else if (run.phase() == RunPhase.RUNNING) {
            running--;
        }
        run.phase(RunPhase.ENDED);
        active.remove(run.attempt(), run);
    }

    private void answer(GateRun run, StageOutcome outcome, List<Runnable> after) {
        after.add(() -> {
            run.disarm();
            if (outcome instanceof StageRefused refused) {
                telemetry.refused(refused.kind());
            }
            run.listener().outcome(outcome, load);
        });
    }

    private void noteCold(boolean turned, List<Runnable> after) {
        if (turned) {
            after.add(() -> {
                telemetry.count("target_turned_cold");
                CoreEvent.TARGET_TURNED_COLD.log(LOGGER, settings.target(), load.limit());
            });
        }
    }

    private StageRefused refusal(ErrorKind reason) {
        TargetLoad now = currentLoad();
        return new StageRefused(reason, RetryAfterSupport.estimate(reason, now, settings.maxRetryAfter()));
    }

    private static StageOutcome duplicate(AttemptState known) {
        return known.refused()
                ? new StageRefused(
                        known == AttemptState.SEALED ? ErrorKind.SEALED : ErrorKind.DUPLICATE_ATTEMPT, Duration.ZERO)
                : new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN);
    }

    private Deadline deadline(StageDispatch dispatch) {
        Duration budget = Duration.of(Math.max(0, dispatch.budgetMicros()), ChronoUnit.MICROS);
        return Deadline.after(scheduler, budget.compareTo(MAX_BUDGET) > 0 ? MAX_BUDGET : budget);
    }

    private void publish() {
        load = currentLoad();
    }

    private TargetLoad currentLoad() {
        GateBounds bounds = checks.bounds();
        return new TargetLoad(
                limits.temperature(bounds),
                running + reserved,
                queue.size(),
                limits.limit(bounds),
                TimeUnit.NANOSECONDS.toMicros(limits.meanNanos()));
    }
}
