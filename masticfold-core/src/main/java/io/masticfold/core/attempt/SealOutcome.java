package io.masticfold.core.attempt;

import org.jspecify.annotations.Nullable;

/**
 * Result of sealing an attempt. Sealing returns the outcome of an attempt and prevents one that has not started from
 * running: after any outcome other than {@link State#RUNNING}, the agent does not start the attempt.
 *
 * @param state state of the attempt
 * @param result stored result, present only for {@link State#DONE}
 */
public record SealOutcome(State state, @Nullable Payload result) {

    /** States of a sealed attempt. */
    public enum State {
        /** The attempt did not run and will not run; this is recorded at the agent. */
        NOT_RUN,
        /** The attempt is running. */
        RUNNING,
        /** The attempt completed and its result is stored. */
        DONE,
        /** The agent cannot tell: the attempt failed, its record or result is not kept, or the agent has restarted. */
        UNKNOWN
    }

    /** Validates that a result is present only for {@link State#DONE}. */
    public SealOutcome {
        if (state != State.DONE && result != null) {
            throw new IllegalArgumentException("a result requires state DONE: " + state);
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
