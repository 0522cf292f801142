package io.masticfold.gateway.stage;

import io.masticfold.core.stage.CriticalPathEstimate;
import io.masticfold.core.stage.StageAdmission;
import io.masticfold.gateway.context.GatewayContext;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Holds requests back before their first stage while the stage pools are overloaded. Used by one thread. */
public final class StageGate {

    /** Time between two looks at the requests that wait. */
    private static final Duration CHECK = Duration.ofMillis(40);

    /** Requests that may begin at one look; what they add to the backlogs is seen at the next one. */
    private static final int BEGIN_AT_ONCE = 1;

    private static final Comparator<StageRun> ORDER =
            Comparator.comparingInt(StageRun::rank).thenComparingLong(StageRun::startedNanos);

    private final GatewayContext context;
    private final List<StageRun> waiting = new ArrayList<>();
    private boolean checkArmed;

    /** Creates the gate. */
    public StageGate(GatewayContext context) {
        this.context = context;
    }

    /** Lets a request begin, wait or be refused; its listener hears of a refusal later. */
    public void submit(StageRun run) {
        long now = context.scheduler().nanoTime();
        CriticalPathEstimate path = run.path();
        switch (verdict(run, path, now)) {
            case START -> run.begin(path.expected());
            case REFUSE -> refuseLater(run, Duration.ZERO);
            case WAIT -> {
                Duration longestWait = longestWait(run, now);
                Duration left = run.deadline().remaining(context.scheduler());
                if (StageAdmission.exceedsMaxWait(longestWait, path, left)) {
                    refuseLater(run, StageAdmission.retryAfter(longestWait, path, left));
                } else {
                    waiting.add(run);
                    arm();
                }
            }
            default -> throw new IllegalStateException("unknown verdict");
        }
    }

    /** Refuses every request that waits, since this gateway stops. */
    public void refuseAll() {
        List<StageRun> refused = List.copyOf(waiting);
        waiting.clear();
        refused.forEach(run -> run.refuse(StageRefusal.STOPPING, Duration.ZERO));
    }

    /** Returns the number of requests that wait. */
    public int waiting() {
        return waiting.size();
    }

    private StageAdmission.Verdict verdict(StageRun run, CriticalPathEstimate path, long now) {
        return StageAdmission.decide(path, run.toAim(now), run.deadline().remaining(context.scheduler()));
    }

    private Duration longestWait(StageRun run, long now) {
        long longest = waiting.stream()
                .filter(other -> other.rank() <= run.rank())
                .mapToLong(other -> now - other.startedNanos())
                .max()
                .orElse(0);
        return Duration.ofNanos(longest);
    }

    private void refuseLater(StageRun run, Duration comeBack) {
        context.scheduler().schedule(Duration.ZERO, () -> run.refuse(StageRefusal.TOO_LATE, comeBack));
    }

    private void arm() {
        if (!checkArmed) {
            checkArmed = true;
            context.scheduler().schedule(CHECK, () -> {
                checkArmed = false;
                check();
            });
        }
    }

    private void check() {
        long now = context.scheduler().nanoTime();
        waiting.removeIf(StageRun::ended);
        waiting.sort(ORDER);
        int begun = 0;
        for (StageRun run : List.copyOf(waiting)) {
            CriticalPathEstimate path = run.path();
            StageAdmission.Verdict verdict = verdict(run, path, now);
            if (verdict == StageAdmission.Verdict.REFUSE) {
                waiting.remove(run);
                run.refuse(StageRefusal.TOO_LATE, Duration.ZERO);
            } else if (verdict == StageAdmission.Verdict.START && begun < BEGIN_AT_ONCE) {
                begun++;
                waiting.remove(run);
                run.begin(path.expected());
            }
        }
        if (!waiting.isEmpty()) {
            arm();
        }
    }
}
