package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;

/** Receives the progress and the final outcome of one piece of stage work. */
interface PieceListener {

    /** Called when the inputs of the piece have been read. */
    void inputsRead();

    /** Called when a server has produced and stored the result. */
    void completed(StageResult result);

    /** Called when the piece has failed and will not be retried. */
    void failed(PieceOutcome.Kind kind);
}
