package io.masticfold.gateway.stage;

import io.masticfold.core.stage.CriticalPathEstimate;
import io.masticfold.core.stage.StageAdmission;
import io.masticfold.gateway.context.GatewayContext;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Queues requests before their first stage while the stage pools are overloaded. Not thread-safe. */
public final class StageAdmissionQueue {

    /** Interval at which the queued requests are examined. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(40);

    /** Maximum number of requests started per examination; the next one takes their load into account. */
    private static final int MAX_STARTS_PER_CHECK = 1;

    private static final Comparator<StageRun> BY_URGENCY =
            Comparator.comparingInt(StageRun::rank).thenComparingLong(StageRun::startedNanos);

    private final GatewayContext context;
    private final List<StageRun> waiting = new ArrayList<>();
    private boolean checkScheduled;

    /** Creates an empty queue. */
    public StageAdmissionQueue(GatewayContext context) {
        this.context = context;
    }

    /** Starts, queues or refuses a request. The listener is notified of a refusal asynchronously. */
    public void submit(StageRun run) {
        long now = context.scheduler().nanoTime();
        CriticalPathEstimate path = run.criticalPath();
        switch (decide(run, path, now)) {
            case START -> run.start(path.expected());
            case REFUSE -> refuseAsync(run, retryAfter(run, path, now));
            case WAIT -> {
                Duration left = run.deadline().remaining(context.scheduler());
                if (StageAdmission.exceedsMaxWait(longestWait(run, now), path, left)) {
                    refuseAsync(run, retryAfter(run, path, now));
                } else {
                    waiting.add(run);
                    scheduleCheck();
                }
            }
            default -> throw new IllegalStateException("unknown verdict");
        }
    }

    /** Refuses all queued requests because the gateway is stopping. */
    public void refuseAll() {
        List<StageRun> refused = List.copyOf(waiting);
        waiting.clear();
        refused.forEach(run -> run.refuse(StageRefusal.STOPPING, Duration.ZERO));
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        return waiting.size();
    }

    private StageAdmission.Verdict decide(StageRun run, CriticalPathEstimate path, long now) {
        return StageAdmission.decide(path, run.timeToDue(now), run.deadline().remaining(context.scheduler()));
    }

    private Duration retryAfter(StageRun run, CriticalPathEstimate path, long now) {
        Duration callerLeft = run.callerDeadline().remaining(context.scheduler());
        return StageAdmission.retryAfter(longestWait(run, now), path, callerLeft);
    }

    private Duration longestWait(StageRun run, long now) {
        long longest = waiting.stream()
                .filter(other -> other.rank() <= run.rank())
                .mapToLong(other -> now - other.startedNanos())
                .max()
                .orElse(0);
        return Duration.ofNanos(longest);
    }

    private void refuseAsync(StageRun run, Duration retryAfter) {
        context.scheduler().schedule(Duration.ZERO, () -> run.refuse(StageRefusal.TOO_LATE, retryAfter));
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            context.scheduler().schedule(CHECK_INTERVAL, () -> {
                checkScheduled = false;
                check();
            });
        }
    }

    private void check() {
        long now = context.scheduler().nanoTime();
        waiting.removeIf(StageRun::ended);
        waiting.sort(BY_URGENCY);
        int started = 0;
        for (StageRun run : List.copyOf(waiting)) {
            CriticalPathEstimate path = run.criticalPath();
            StageAdmission.Verdict verdict = decide(run, path, now);
            if (verdict == StageAdmission.Verdict.REFUSE) {
                waiting.remove(run);
                run.refuse(StageRefusal.TOO_LATE, retryAfter(run, path, now));
            } else if (verdict == StageAdmission.Verdict.START && started < MAX_STARTS_PER_CHECK) {
                started++;
                waiting.remove(run);
                run.start(path.expected());
            }
        }
        if (!waiting.isEmpty()) {
            scheduleCheck();
        }
    }
}
