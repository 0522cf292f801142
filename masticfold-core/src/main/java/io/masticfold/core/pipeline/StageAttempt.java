package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.routing.Route;

/** Represents one dispatched attempt; passes its chunks and its outcome to the event loop of the request. */
final class StageAttempt implements StageListener {

    private final AbstractStageRun stageRun;
    private final AttemptId id;
    private final Route route;
    private final long startNanos;
    private final long resumeOffset;

    StageAttempt(AbstractStageRun stageRun, AttemptId id, Route route, long startNanos, long resumeOffset) {
        this.stageRun = stageRun;
        this.id = id;
        this.route = route;
        this.startNanos = startNanos;
        this.resumeOffset = resumeOffset;
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        stageRun.run().runOnEventLoop(() -> stageRun.receiveChunk(this, offset, bytes));
    }

    @Override
    public void outcome(StageOutcome outcome, TargetLoad load) {
        stageRun.run().runOnEventLoop(() -> stageRun.receiveOutcome(this, outcome, load));
    }

    AttemptId id() {
        return id;
    }

    Route route() {
        return route;
    }

    long startNanos() {
        return startNanos;
    }

    long resumeOffset() {
        return resumeOffset;
    }
}
