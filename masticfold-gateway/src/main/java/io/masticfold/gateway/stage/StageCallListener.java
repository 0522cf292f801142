package io.masticfold.gateway.stage;

import io.masticfold.gateway.http.CallResult;

/** Receives the events of a call to a stage server; {@link #ended} follows every other event. */
interface StageCallListener {

    /** Called when the call is late and the server is still processing. */
    void slow(StageCall call);

    /** Called when the call is late and the server is idle, so that the response must have been lost. */
    void responseLost(StageCall call);

    /** Called when the call is late and the server returns no valid status report. */
    void unreachable(StageCall call);

    /** Called when the call has ended. */
    void ended(StageCall call, CallResult result);
}
