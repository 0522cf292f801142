package io.masticfold.core.gate;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.StageListener;
import java.util.ArrayList;
import java.util.List;

/** Records the chunks and outcomes of one dispatch and runs an action on each outcome. */
final class RecordingListener implements StageListener {

    private final Runnable onOutcome;

    private final List<StageOutcome> outcomes = new ArrayList<>();
    private final List<String> chunks = new ArrayList<>();

    RecordingListener(Runnable onOutcome) {
        this.onOutcome = onOutcome;
    }

    RecordingListener() {
        this(() -> {});
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        chunks.add(offset + ":" + bytes.utf8());
    }

    @Override
    public void outcome(StageOutcome outcome, TargetLoad _load) {
        outcomes.add(outcome);
        onOutcome.run();
    }

    List<StageOutcome> outcomes() {
        return outcomes;
    }

    List<String> chunks() {
        return chunks;
    }
}
