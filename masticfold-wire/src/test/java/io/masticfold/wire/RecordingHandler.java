package io.masticfold.wire;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.link.StageHandler;
import io.masticfold.core.link.StageListener;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Records the calls of an agent's handler; the test sends outcomes through the recorded listeners. */
final class RecordingHandler implements StageHandler {

    private final List<StageDispatch> dispatches = new CopyOnWriteArrayList<>();
    private final Map<AttemptId, StageListener> listeners = new ConcurrentHashMap<>();
    private final List<AttemptId> cancelled = new CopyOnWriteArrayList<>();
    private final List<Integer> grants = new CopyOnWriteArrayList<>();

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        listeners.put(dispatch.attempt(), listener);
        dispatches.add(dispatch);
    }

    @Override
    public void cancel(AttemptId attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void grant(AttemptId _attempt, int bytes) {
        grants.add(bytes);
    }

    @Override
    public void seal(AttemptId attempt, Incarnation _agent, Consumer<SealOutcome> reply) {
        reply.accept(
                listeners.containsKey(attempt)
                        ? SealOutcome.done(Payload.ofUtf8("kept"))
                        : SealOutcome.of(SealOutcome.State.NOT_RUN));
    }

    List<StageDispatch> dispatches() {
        return dispatches;
    }

    StageListener listener(AttemptId attempt) {
        return listeners.get(attempt);
    }

    List<AttemptId> cancelled() {
        return cancelled;
    }

    List<Integer> grants() {
        return grants;
    }
}
