package io.masticfold.core.gate;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.StageListener;

/** Runs an action when the outcome arrives. */
record InterruptingListener(Runnable action) implements StageListener {

    @Override
    public void chunk(long _offset, Payload _bytes) {}

    @Override
    public void outcome(StageOutcome _outcome, TargetLoad _load) {
        action.run();
    }
}
