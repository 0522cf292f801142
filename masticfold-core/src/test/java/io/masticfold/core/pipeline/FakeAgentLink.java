package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Connects an entry to an agent with a latency of 1 ms in each direction; can be lost and restored. */
final class FakeAgentLink implements AgentLink {

    private static final Duration LATENCY = Duration.ofMillis(1);

    private final ManualScheduler scheduler;
    private final Map<AttemptId, StageListener> openAttempts = new LinkedHashMap<>();
    private final Set<AttemptId> written = new HashSet<>();
    final FakeAgent agent;
    final List<StageDispatch> dispatched = new ArrayList<>();
    final List<StageListener> listeners = new ArrayList<>();
    final List<AttemptId> cancelled = new ArrayList<>();
    final Map<AttemptId, Integer> granted = new LinkedHashMap<>();
    boolean up = true;

    FakeAgentLink(FakeAgent agent, ManualScheduler scheduler) {
        this.agent = agent;
        this.scheduler = scheduler;
    }

    /** Loses the link: written attempts end as unknown and may still arrive; attempts not yet written are refused. */
    void lose() {
        up = false;
        List.copyOf(openAttempts.entrySet()).forEach(entry -> {
            openAttempts.remove(entry.getKey());
            StageOutcome outcome = written.contains(entry.getKey())
                    ? new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN)
                    : new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            entry.getValue().outcome(outcome, TargetLoad.UNKNOWN);
        });
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        dispatched.add(dispatch);
        listeners.add(listener);
        if (!up) {
            listener.outcome(new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO), TargetLoad.UNKNOWN);
            return;
        }
        openAttempts.put(dispatch.attempt(), listener);
        scheduler.schedule(Duration.ZERO, () -> write(dispatch));
    }

    private void write(StageDispatch dispatch) {
        if (openAttempts.containsKey(dispatch.attempt())) {
            written.add(dispatch.attempt());
            scheduler.schedule(LATENCY, () -> agent.dispatch(dispatch, new ReturnPath(dispatch.attempt())));
        }
    }

    @Override
    public void seal(AttemptId attempt, Incarnation incarnation, Consumer<SealOutcome> reply) {
        scheduler.schedule(LATENCY, () -> {
            SealOutcome outcome = agent.seal(attempt, incarnation);
            scheduler.schedule(LATENCY, () -> reply.accept(up ? outcome : SealOutcome.of(SealOutcome.State.UNKNOWN)));
        });
    }

    @Override
    public void cancel(AttemptId attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void grant(AttemptId attempt, int bytes) {
        granted.merge(attempt, bytes, Integer::sum);
    }

    @Override
    public String target() {
        return agent.name;
    }

    @Override
    public boolean usable() {
        return up;
    }

    @Override
    public Incarnation agentIncarnation() {
        return agent.incarnation();
    }

    @Override
    public TargetLoad load() {
        return TargetLoad.UNKNOWN;
    }

    /** Returns the chunks and the outcome of an attempt over the link, unless the link was lost in the meantime. */
    private final class ReturnPath implements StageListener {

        private final AttemptId attempt;

        ReturnPath(AttemptId attempt) {
            this.attempt = attempt;
        }

        @Override
        public void chunk(long offset, Payload bytes) {
            scheduler.schedule(LATENCY, () -> {
                if (openAttempts.containsKey(attempt)) {
                    openAttempts.get(attempt).chunk(offset, bytes);
                }
            });
        }

        @Override
        public void outcome(StageOutcome outcome, TargetLoad load) {
            scheduler.schedule(LATENCY, () -> {
                StageListener listener = openAttempts.remove(attempt);
                if (listener != null) {
                    listener.outcome(outcome, load);
                }
            });
        }
    }
}
