package io.masticfold.core.gate;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.StageListener;
import java.util.ArrayList;
import java.util.List;

/** Records what the gate answers to one dispatch. */
final class RecordingListener implements StageListener {

    private final List<StageOutcome> outcomes = new ArrayList<>();
    private final List<String> chunks = new ArrayList<>();
    private TargetLoad load = TargetLoad.UNKNOWN;

    @Override
    public void chunk(long offset, Payload bytes) {
        chunks.add(offset + ":" + bytes.utf8());
    }

    @Override
    public void outcome(StageOutcome outcome, TargetLoad loadAfter) {
        outcomes.add(outcome);
        load = loadAfter;
    }

    TargetLoad load() {
        return load;
    }

    List<StageOutcome> outcomes() {
        return outcomes;
    }

    List<String> chunks() {
        return chunks;
    }
}
