package io.masticfold.core.gate;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Deadline;

/** State of one attempt at the gate, from its arrival to its outcome. The gate changes the phase under its lock. */
final class AttemptRun implements TargetListener {

    private final AgentGate gate;
    private final StageDispatch dispatch;
    private final StageListener listener;
    private final Deadline deadline;
    private final long arrivalNumber;
    private final CallHandle callHandle = new CallHandle();
    private volatile RunPhase phase = RunPhase.QUEUED;
    private volatile Cancellable expiryTimer = Cancellable.NONE;
    private long epoch;
    private long startNanos;
    private long nextOffset;

    /**
     * Creates a run in phase {@link RunPhase#QUEUED}.
     *
     * @param arrivalNumber arrival number, which orders attempts of equal priority and deadline
     */
    AttemptRun(AgentGate gate, StageDispatch dispatch, StageListener listener, Deadline deadline, long arrivalNumber) {
        this.gate = gate;
        this.dispatch = dispatch;
        this.listener = listener;
        this.deadline = deadline;
        this.arrivalNumber = arrivalNumber;
        this.nextOffset = dispatch.resumeOffset();
    }

    StageDispatch dispatch() {
        return dispatch;
    }

    AttemptId attempt() {
        return dispatch.attempt();
    }

    StageListener listener() {
        return listener;
    }

    Deadline deadline() {
        return deadline;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    RunPhase phase() {
        return phase;
    }

    void phase(RunPhase next) {
        phase = next;
    }

    /** Marks the attempt as sent to the target. */
    void begin(long callEpoch, long nowNanos) {
        phase = RunPhase.RUNNING;
        epoch = callEpoch;
        startNanos = nowNanos;
    }

    CallTimes times(long nowNanos) {
        return new CallTimes(epoch, startNanos, nowNanos);
    }

    CallHandle callHandle() {
        return callHandle;
    }

    /** Sets the timer that refuses the waiting attempt once its remaining budget is too short. */
    void setExpiryTimer(Cancellable timer) {
        expiryTimer = timer;
        if (!phase.waiting()) {
            timer.cancel();
        }
    }

    void cancelExpiryTimer() {
        expiryTimer.cancel();
    }

    @Override
    public void chunk(Payload bytes) {
        if (phase == RunPhase.RUNNING) {
            long chunkOffset = nextOffset;
            nextOffset += bytes.size();
            listener.chunk(chunkOffset, bytes);
        }
    }

    @Override
    public void completed(Payload result) {
        gate.completed(this, result);
    }

    @Override
    public void failed(ErrorKind kind, Ran ran) {
        gate.failed(this, kind, ran);
    }
}
