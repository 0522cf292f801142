package io.masticfold.core.attempt;

import org.jspecify.annotations.Nullable;

/** Record of one attempt in the {@link AttemptLedger}. */
final class AttemptRecord {

    private final AttemptId attempt;
    private final boolean idempotent;
    private AttemptState state;
    private long endedNanos;

    @Nullable
    private Payload result;

    AttemptRecord(AttemptId attempt, boolean idempotent, AttemptState state) {
        this.attempt = attempt;
        this.idempotent = idempotent;
        this.state = state;
    }

    AttemptId attempt() {
        return attempt;
    }

    boolean idempotent() {
        return idempotent;
    }

    AttemptState state() {
        return state;
    }

    long endedNanos() {
        return endedNanos;
    }

    @Nullable
    Payload result() {
        return result;
    }

    void begin() {
        state = AttemptState.RUNNING;
    }

    void end(AttemptState endState, long nowNanos) {
        state = endState;
        endedNanos = nowNanos;
    }

    void storeResult(Payload stored) {
        result = stored;
    }

    /** Discards the stored result and returns the number of bytes freed. */
    int discardResult() {
        int bytes = result == null ? 0 : result.size();
        result = null;
        return bytes;
    }
}
