package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;

/** Receives the outcomes of the pieces that it has ordered. */
interface PieceReceiver {

    /** The inputs of an order have been read; they are not needed again unless the order fails. */
    void inputsRead(long order);

    /** Receives the outcome of an order. */
    void outcome(long order, PieceOutcome outcome);
}
