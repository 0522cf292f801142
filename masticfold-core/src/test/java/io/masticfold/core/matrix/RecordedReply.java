package io.masticfold.core.matrix;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.invariant.Invariant;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.pipeline.ResponseListener;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;

/** Records the response to one request as its caller receives it. */
final class RecordedReply implements ResponseListener {

    private final MatrixWorld world;
    private final Runnable next;
    private final ByteArrayOutputStream streamed = new ByteArrayOutputStream();
    private Runnable whenEnded = () -> {};
    final PipelineRequest request;

    @Nullable
    PipelineResult result;

    @Nullable
    RequestFailure failure;

    boolean broken;
    int answers;
    long answeredNanos;

    /** Creates a record that runs {@code next}, the continuation of the caller, when the response has ended. */
    RecordedReply(PipelineRequest request, MatrixWorld world, Runnable next) {
        this.request = request;
        this.world = world;
        this.next = next;
    }

    void whenEnded(Runnable task) {
        whenEnded = task;
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        if (answers > 0 || offset != streamed.size()) {
            world.violated(
                    Invariant.WHOLE_ANSWER, "chunk at offset " + offset + " after " + streamed.size() + " bytes");
        }
        streamed.write(bytes.unsafeBytes(), 0, bytes.size());
    }

    @Override
    public void completed(PipelineResult newResult) {
        result = newResult;
        ended();
    }

    @Override
    public void failed(RequestFailure newFailure) {
        failure = world.off(Mutation.RAN_ACCOUNT)
                ? new RequestFailure(
                        newFailure.kind(),
                        newFailure.kind().ran(),
                        newFailure.kind().ran(),
                        newFailure.retryAfter(),
                        newFailure.message())
                : newFailure;
        ended();
    }

    /** Ends the response without an answer because the entry died and the connection of the caller was lost. */
    void broken() {
        if (answers == 0) {
            broken = true;
            ended();
        }
    }

    private void ended() {
        if (broken && answers > 0) {
            return;
        }
        answers++;
        answeredNanos = world.clock.nanoTime();
        whenEnded.run();
        next.run();
    }

    String streamed() {
        return Payload.wrap(streamed.toByteArray()).utf8();
    }

    @Override
    public String toString() {
        return request.requestId() + " "
                + (broken ? "connection lost" : result != null ? "completed" : String.valueOf(failure));
    }
}
