package io.masticfold.gateway.stage;

import io.masticfold.gateway.http.CallResult;

/** Hears how a call of a stage server goes on. Whatever else it hears, it hears the end. */
interface StageCallListener {

    /** The call is late, and the server is still at work. */
    void slow(StageCall call);

    /** The call is late, and the server has nothing to do: its answer was lost. */
    void answerLost(StageCall call);

    /** The call is late, and the server does not say why. */
    void unreachable(StageCall call);

    /** The call has ended. */
    void ended(StageCall call, CallResult result);
}
