package io.masticfold.core.link;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import java.util.function.Consumer;

/** Handles the requests of an entry to the agent of one target. Implementations are thread-safe. */
public interface StageHandler {

    /**
     * Runs an attempt or refuses it.
     *
     * @param dispatch the attempt
     * @param listener receives the chunks and the outcome
     */
    void dispatch(StageDispatch dispatch, StageListener listener);

    /** Cancels an attempt that is no longer needed; ignored if it is unknown, ended, or running and non-idempotent. */
    void cancel(AttemptId attempt);

    /**
     * Grants credit to send more bytes of a streaming result.
     *
     * @param attempt the streaming attempt
     * @param bytes number of bytes the receiver has consumed since the last grant
     */
    void grant(AttemptId attempt, int bytes);

    /**
     * Asks for the outcome of an attempt. An attempt that has not arrived is recorded as refused before the reply.
     *
     * @param attempt the attempt
     * @param agent incarnation of the agent the attempt was addressed to
     * @param reply receives the outcome, exactly once
     */
    void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply);
}
