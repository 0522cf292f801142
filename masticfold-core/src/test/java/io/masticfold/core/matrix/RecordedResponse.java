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
final class RecordedResponse implements ResponseListener {

    private final Simulation simulation;
    private final Runnable continuation;
    private final ByteArrayOutputStream streamedBytes = new ByteArrayOutputStream();
    private Runnable onEnd = () -> {};
    final PipelineRequest request;

    @Nullable
    PipelineResult result;

    @Nullable
    RequestFailure failure;

    boolean connectionLost;
    int answerCount;
    long answeredNanos;

    /** Creates a record that runs the continuation of the caller when the response has ended. */
    RecordedResponse(PipelineRequest request, Simulation simulation, Runnable continuation) {
        this.request = request;
        this.simulation = simulation;
        this.continuation = continuation;
    }

    void onEnd(Runnable task) {
        onEnd = task;
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        if (answerCount > 0 || offset != streamedBytes.size()) {
            simulation.reportViolation(
                    Invariant.WHOLE_ANSWER, "chunk at offset " + offset + " after " + streamedBytes.size() + " bytes");
        }
        streamedBytes.write(bytes.unsafeBytes(), 0, bytes.size());
    }

    @Override
    public void completed(PipelineResult newResult) {
        result = newResult;
        end();
    }

    @Override
    public void failed(RequestFailure newFailure) {
        failure = simulation.isDisabled(Mutation.RAN_ACCOUNT)
                ? new RequestFailure(
                        newFailure.kind(),
                        newFailure.kind().ran(),
                        newFailure.kind().ran(),
                        newFailure.retryAfter(),
                        newFailure.message())
                : newFailure;
        end();
    }

    /** Ends the response without an answer because the entry died and the connection of the caller was lost. */
    void connectionLost() {
        if (answerCount == 0) {
            connectionLost = true;
            end();
        }
    }

    private void end() {
        if (connectionLost && answerCount > 0) {
            return;
        }
        answerCount++;
        answeredNanos = simulation.clock.nanoTime();
        onEnd.run();
        continuation.run();
    }

    String streamedText() {
        return Payload.wrap(streamedBytes.toByteArray()).utf8();
    }

    @Override
    public String toString() {
        return request.requestId() + " "
                + (connectionLost ? "connection lost" : result != null ? "completed" : String.valueOf(failure));
    }
}
