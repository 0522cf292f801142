package io.masticfold.core.link;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import java.util.function.Consumer;

/** Runs attempts at one target; the agent's side of a link. Safe for use by several threads. */
public interface StageHandler {

    /**
     * Runs an attempt or refuses it.
     *
     * @param dispatch the attempt
     * @param listener receives chunks and the outcome
     */
    void dispatch(StageDispatch dispatch, StageListener listener);

    /** Cancels an attempt nobody waits for; ignored if the attempt is unknown, ended or non-idempotent and running. */
    void cancel(AttemptId attempt);

    /**
     * Allows more bytes of a streaming result to be sent.
     *
     * @param attempt the streaming attempt
     * @param bytes number of bytes the receiver has consumed since the last grant
     */
    void grant(AttemptId attempt, int bytes);

    /**
     * Settles what became of an attempt. An attempt not seen yet is recorded as refused before the answer.
     *
     * @param attempt the attempt
     * @param agent incarnation of the agent the attempt was addressed to
     * @param reply receives the outcome, exactly once
     */
    void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply);
}
