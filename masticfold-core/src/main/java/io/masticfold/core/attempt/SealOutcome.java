package io.masticfold.core.attempt;

import org.jspecify.annotations.Nullable;

/**
 * Answers a request to seal an attempt. After any answer but {@link State#RUNNING} the agent starts no run of the
 * attempt.
 *
 * @param state what became of the attempt
 * @param result the kept result, present for {@link State#DONE} only
 */
public record SealOutcome(State state, @Nullable Payload result) {

    /** Lists what can have become of an attempt. */
    public enum State {
        /** The attempt was not run and never will be; the refusal is recorded. */
        NOT_RUN,
        /** The attempt is running. */
        RUNNING,
        /** The attempt ran and its result was kept. */
        DONE,
        /** The agent cannot tell: it has restarted since, or has dropped the record. */
        UNKNOWN
    }

    /** Checks that a result comes with {@link State#DONE} only. */
    public SealOutcome {
        if (state != State.DONE && result != null) {
            throw new IllegalArgumentException("a result needs state DONE: " + state);
        }
    }

    /** Creates an outcome without a result. */
    public static SealOutcome of(State state) {
        return new SealOutcome(state, null);
    }

    /** Creates the outcome of an attempt that completed. */
    public static SealOutcome done(Payload result) {
        return new SealOutcome(State.DONE, result);
    }
}
