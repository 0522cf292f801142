package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.List;

/** Receives the outcome of the stages of one request. Never called synchronously by the call that starts them. */
public interface StageRunListener {

    /**
     * Called when all stages are complete.
     *
     * @param inputs handles of the results that are the inputs of the request
     */
    void stagesDone(List<String> inputs);

    /** Called when a piece has failed and will not be retried. */
    void stagesFailed(PieceOutcome.Kind kind);

    /**
     * Called when the stages are refused before their start.
     *
     * @param retryAfter time after which the caller may retry
     */
    void stagesRefused(StageRefusal reason, Duration retryAfter);
}
