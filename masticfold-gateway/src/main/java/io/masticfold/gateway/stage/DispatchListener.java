package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;

/** Receives the progress and the outcome of pieces that were added to a server queue. */
interface DispatchListener {

    /** Called when the inputs of a piece have been read; they are needed again only if the piece fails. */
    void inputsRead(long dispatchId);

    /**
     * Called with the outcome of a piece.
     *
     * @param location server that processed the piece, or failed to
     */
    void completed(long dispatchId, PieceOutcome outcome, PieceLocation location);
}
