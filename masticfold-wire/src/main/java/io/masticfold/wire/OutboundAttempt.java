package io.masticfold.wire;

import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.link.StageListener;

/** State of a dispatched attempt that has no outcome yet. Confined to the event loop of the connection. */
final class OutboundAttempt {

    private final StageDispatch dispatch;
    private final StageListener listener;
    private final ResultAssembler assembler;
    private boolean written;

    OutboundAttempt(StageDispatch dispatch, StageListener listener) {
        this.dispatch = dispatch;
        this.listener = listener;
        this.assembler = new ResultAssembler(dispatch.resumeOffset());
    }

    StageDispatch dispatch() {
        return dispatch;
    }

    StageListener listener() {
        return listener;
    }

    ResultAssembler assembler() {
        return assembler;
    }

    /** Returns whether the dispatch was written to the socket completely. */
    boolean written() {
        return written;
    }

    void markWritten() {
        written = true;
    }
}
