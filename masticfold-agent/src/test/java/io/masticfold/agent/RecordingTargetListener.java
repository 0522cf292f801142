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
    private final List<String> ends = new CopyOnWriteArrayList<>();
    private final CompletableFuture<String> first = new CompletableFuture<>();

    @Override
    public void chunk(Payload bytes) {
        chunks.add(bytes);
    }

    @Override
    public void completed(Payload result) {
        end(result.utf8());
    }

    @Override
    public void failed(ErrorKind kind, Ran ran) {
        end(kind + " " + ran);
    }

    private void end(String end) {
        ends.add(end);
        first.complete(end);
    }

    String awaitEnd() throws Exception {
        return first.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    List<String> ends() {
        return ends;
    }

    String streamed() {
        StringBuilder text = new StringBuilder();
        chunks.forEach(chunk -> text.append(chunk.utf8()));
        return text.toString();
    }
}
