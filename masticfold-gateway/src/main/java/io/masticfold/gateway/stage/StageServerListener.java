package io.masticfold.gateway.stage;

import java.util.List;

/** Receives the changes of a stage server that affect the pieces waiting for its pool. */
interface StageServerListener {

    /** Called when the server may take a call, or when its storage or speed has changed. */
    void serverChanged();

    /** Called with pieces that the server did not process and that go back into the queue. */
    void requeue(List<QueuedPiece> pieces);

    /** Returns the number of pieces that wait for the pool. */
    int waitingPieces();
}
