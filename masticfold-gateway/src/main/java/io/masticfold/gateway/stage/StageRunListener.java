package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.List;

/** Receives the end of the stages of one request, never inside the call that starts them. */
public interface StageRunListener {

    /** Every result exists; these handles are the inputs of the request. */
    void stagesDone(List<String> inputs);

    /** A result could not be made. */
    void stagesFailed(PieceOutcome.Kind kind);

    /**
     * The stages were not begun.
     *
     * @param comeBack time after which the pools are likely to have drained
     */
    void stagesRefused(StageRefusal reason, Duration comeBack);
}
