package io.masticfold.agent;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.gate.TargetListener;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Records the callbacks of a call. The outcome is recorded as text: the result, or the error kind and {@link Ran}. */
final class RecordingTargetListener implements TargetListener {

    private static final long WAIT_SECONDS = 20;

    private final List<Payload> chunks = new CopyOnWriteArrayList<>();
    private final List<String> outcomes = new CopyOnWriteArrayList<>();
    private final CompletableFuture<String> firstOutcome = new CompletableFuture<>();

    @Override
    public void chunk(Payload bytes) {
        chunks.add(bytes);
    }

    @Override
    public void completed(Payload result) {
        recordOutcome(result.utf8());
    }

    @Override
    public void failed(ErrorKind kind, Ran ran) {
        recordOutcome(kind + " " + ran);
    }

    private void recordOutcome(String outcome) {
        outcomes.add(outcome);
        firstOutcome.complete(outcome);
    }

    String awaitOutcome() throws Exception {
        return firstOutcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    List<String> outcomes() {
        return outcomes;
    }

    String streamedText() {
        StringBuilder text = new StringBuilder();
        chunks.forEach(chunk -> text.append(chunk.utf8()));
        return text.toString();
    }
}
