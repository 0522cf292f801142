package io.masticfold.core.attempt;

/** States of an attempt in the ledger of an agent. */
public enum AttemptState {
    /** Not seen before; may run. */
    NEW(false, SealOutcome.State.NOT_RUN),
    /** Accepted but not started yet. */
    QUEUED(false, SealOutcome.State.NOT_RUN),
    /** Sent to the target. */
    RUNNING(false, SealOutcome.State.RUNNING),
    /** Completed; the result is not necessarily stored. */
    DONE(true, SealOutcome.State.DONE),
    /** Sent to the target and ended without a result. */
    FAILED(true, SealOutcome.State.UNKNOWN),
    /** Did not run and will not run. */
    REFUSED(true, SealOutcome.State.NOT_RUN),
    /** Did not run and will not run, because an entry sealed it before it started. */
    SEALED(true, SealOutcome.State.NOT_RUN),
    /** Addressed to another incarnation of the agent, which may have run it; does not run here. */
    OTHER_INCARNATION(true, SealOutcome.State.UNKNOWN),
    /** Covered by the marks of evicted records; may have run, and will not run again. */
    EVICTED(true, SealOutcome.State.UNKNOWN);

    private final boolean ended;
    private final SealOutcome.State sealState;

    AttemptState(boolean ended, SealOutcome.State sealState) {
        this.ended = ended;
        this.sealState = sealState;
    }

    /** Returns whether this is a final state. */
    public boolean ended() {
        return ended;
    }

    /** Returns whether the attempt was accepted and has not ended. */
    public boolean active() {
        return this == QUEUED || this == RUNNING;
    }

    /** Returns whether the attempt is certain neither to have run nor to run later. */
    public boolean provablyNotRun() {
        return this == REFUSED || this == SEALED;
    }

    /** Returns the outcome of a seal in this state; {@link SealOutcome.State#DONE} also requires a stored result. */
    SealOutcome.State sealState() {
        return sealState;
    }
}
