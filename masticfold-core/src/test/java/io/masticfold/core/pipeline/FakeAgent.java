package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps an attempt ledger as an agent does; a queue determines how its target executes the next attempts. */
final class FakeAgent {

    /** Lists how an attempt can end. */
    enum Behavior {
        COMPLETE,
        REFUSE,
        /** The target answers with an error. */
        FAIL,
        /** The connection to the target breaks after the call ran. */
        DISCONNECT,
        /** The target answers after two seconds. */
        STALL,
        /** The stream breaks after its first chunk and a chunk that follows a gap. */
        BREAK_STREAM
    }

    static final int CHUNK_BYTES = 4;

    private static final Duration SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration STALL_TIME = Duration.ofSeconds(2);

    private final ManualScheduler scheduler;
    private final List<StageDispatch> executed;
    private final Map<AttemptId, SealOutcome> ledger = new HashMap<>();
    private long restarts;
    final String name;
    final Deque<Behavior> behaviors = new ArrayDeque<>();

    FakeAgent(String name, ManualScheduler scheduler, List<StageDispatch> executed) {
        this.name = name;
        this.scheduler = scheduler;
        this.executed = executed;
    }

    Incarnation incarnation() {
        return new Incarnation(name.hashCode() & 0xffff, restarts);
    }

    /** Clears the ledger, as a restart of the process does; calls that reached the target keep their effect. */
    void restart() {
        restarts++;
        ledger.clear();
    }

    void dispatch(StageDispatch dispatch, StageListener listener) {
        SealOutcome known = ledger.get(dispatch.attempt());
        if (known != null) {
            boolean sealed = known.state() == SealOutcome.State.NOT_RUN;
            refuse(listener, sealed ? ErrorKind.SEALED : ErrorKind.DUPLICATE_ATTEMPT);
        } else if (!dispatch.agent().equals(incarnation())) {
            ledger.put(dispatch.attempt(), SealOutcome.of(SealOutcome.State.NOT_RUN));
            refuse(listener, ErrorKind.STALE_INCARNATION);
        } else {
            run(dispatch, listener, behaviors.isEmpty() ? Behavior.COMPLETE : behaviors.poll());
        }
    }

    private void run(StageDispatch dispatch, StageListener listener, Behavior behavior) {
        if (behavior == Behavior.REFUSE) {
            ledger.put(dispatch.attempt(), SealOutcome.of(SealOutcome.State.NOT_RUN));
            refuse(listener, ErrorKind.QUEUE_FULL);
            return;
        }
        executed.add(dispatch);
        ledger.put(dispatch.attempt(), SealOutcome.of(SealOutcome.State.RUNNING));
        Payload tail = tail(result(dispatch.body()), dispatch.resumeOffset());
        switch (behavior) {
            case FAIL -> end(dispatch, listener, new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES), SERVICE_TIME);
            case DISCONNECT ->
                end(dispatch, listener, new StageFailed(ErrorKind.TARGET_UNREACHABLE, Ran.UNKNOWN), SERVICE_TIME);
            case BREAK_STREAM -> {
                listener.chunk(dispatch.resumeOffset(), chunk(tail, 0));
                // This chunk follows a gap, is longer than the correct one and differs from what other attempts send.
                listener.chunk(dispatch.resumeOffset() + 2 * CHUNK_BYTES, Payload.ofUtf8("?????"));
                end(dispatch, listener, new StageFailed(ErrorKind.TARGET_UNREACHABLE, Ran.UNKNOWN), SERVICE_TIME);
            }
            default -> {
                if (dispatch.streaming()) {
                    // Sends the chunks in reverse order.
                    stream(dispatch, listener, tail);
                }
                end(
                        dispatch,
                        listener,
                        new StageCompleted(tail, 1),
                        behavior == Behavior.STALL ? STALL_TIME : SERVICE_TIME);
            }
        }
    }

    private static void stream(StageDispatch dispatch, StageListener listener, Payload tail) {
        int chunks = (tail.size() + CHUNK_BYTES - 1) / CHUNK_BYTES;
        for (int chunk = chunks - 1; chunk >= 0; chunk--) {
            int start = chunk * CHUNK_BYTES;
            listener.chunk(dispatch.resumeOffset() + start, chunk(tail, start));
        }
    }

    private void end(StageDispatch dispatch, StageListener listener, StageOutcome outcome, Duration delay) {
        Incarnation started = incarnation();
        scheduler.schedule(delay, () -> {
            if (started.equals(incarnation())) {
                ledger.put(dispatch.attempt(), ledgerEntry(outcome));
                listener.outcome(outcome, TargetLoad.UNKNOWN);
            }
        });
    }

    private static SealOutcome ledgerEntry(StageOutcome outcome) {
        if (outcome instanceof StageCompleted completed) {
            return SealOutcome.done(completed.result());
        }
        return SealOutcome.of(outcome.ran() == Ran.YES ? SealOutcome.State.DONE : SealOutcome.State.UNKNOWN);
    }

    private static void refuse(StageListener listener, ErrorKind kind) {
        listener.outcome(new StageRefused(kind, Duration.ofMillis(30)), TargetLoad.UNKNOWN);
    }

    SealOutcome seal(AttemptId attempt, Incarnation agent) {
        if (!agent.equals(incarnation())) {
            return SealOutcome.of(SealOutcome.State.UNKNOWN);
        }
        return ledger.computeIfAbsent(attempt, _id -> SealOutcome.of(SealOutcome.State.NOT_RUN));
    }

    /** Returns the result of every target for an input. */
    static Payload result(Payload body) {
        return Payload.ofUtf8("<" + body.utf8() + ">");
    }

    private static Payload tail(Payload whole, long offset) {
        return Payload.wrap(Arrays.copyOfRange(whole.unsafeBytes(), (int) offset, whole.size()));
    }

    private static Payload chunk(Payload bytes, int start) {
        int end = Math.min(bytes.size(), start + CHUNK_BYTES);
        return Payload.wrap(Arrays.copyOfRange(bytes.unsafeBytes(), start, end));
    }
}
