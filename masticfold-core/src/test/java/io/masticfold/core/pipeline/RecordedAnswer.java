package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.time.ManualScheduler;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Records the response to one caller, and checks that chunks arrive in order and none arrives after its end. */
final class RecordedAnswer implements ResponseListener {

    private final ManualScheduler scheduler;
    private final ByteArrayOutputStream streamed = new ByteArrayOutputStream();
    private @Nullable PipelineResult result;
    private @Nullable RequestFailure failure;
    final PipelineRequest request;

    @Nullable
    RunningRequest running;

    int answers;
    long answeredNanos;

    RecordedAnswer(PipelineRequest request, ManualScheduler scheduler) {
        this.request = request;
        this.scheduler = scheduler;
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        if (answers > 0 || offset != streamed.size()) {
            throw new IllegalStateException("chunk at " + offset + " after " + streamed.size() + " bytes");
        }
        streamed.write(bytes.unsafeBytes(), 0, bytes.size());
    }

    @Override
    public void completed(PipelineResult newResult) {
        result = newResult;
        answered();
    }

    @Override
    public void failed(RequestFailure newFailure) {
        failure = newFailure;
        answered();
    }

    private void answered() {
        answers++;
        answeredNanos = scheduler.nanoTime();
    }

    RunningRequest running() {
        return Objects.requireNonNull(running, "not submitted");
    }

    Optional<RequestFailure> failure() {
        return Optional.ofNullable(failure);
    }

    Optional<PipelineResult> result() {
        return Optional.ofNullable(result);
    }

    String output() {
        return result().map(answer -> answer.output().utf8()).orElse("none, failed with " + failure);
    }

    String streamed() {
        return Payload.wrap(streamed.toByteArray()).utf8();
    }

    /** Returns kind, {@code ran} and {@code effects} of a failure, for example {@code in_progress unknown unknown}. */
    String summary() {
        return failure()
                .map(failed -> failed.kind().code() + " " + failed.ran().code() + " "
                        + failed.effects().code())
                .orElse(answers == 0 ? "open" : "completed");
    }
}
