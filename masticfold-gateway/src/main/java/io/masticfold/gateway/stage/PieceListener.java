package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;

/** Receives the end of one piece of stage work. */
interface PieceListener {

    /** The inputs of the piece have been read. */
    void inputsRead();

    /** The result exists at a server. */
    void made(StageResult result);

    /** The piece was not made and will not be tried again. */
    void failed(PieceOutcome.Kind kind);
}
