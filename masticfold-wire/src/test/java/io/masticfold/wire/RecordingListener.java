package io.masticfold.wire;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.StageListener;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records the chunks and outcomes that a listener receives. */
final class RecordingListener implements StageListener {

    private final List<Payload> chunks = new CopyOnWriteArrayList<>();
    private final List<StageOutcome> outcomes = new CopyOnWriteArrayList<>();

    @Override
    public void chunk(long _offset, Payload bytes) {
        chunks.add(bytes);
    }

    @Override
    public void outcome(StageOutcome outcome, TargetLoad _load) {
        outcomes.add(outcome);
    }

    List<Payload> chunks() {
        return chunks;
    }

    List<StageOutcome> outcomes() {
        return outcomes;
    }
}
