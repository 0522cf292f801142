package io.masticfold.core.attempt;

/** Lists what an agent can know of an attempt. */
public enum AttemptState {
    /** Not seen before; may run. */
    NEW(false, SealOutcome.State.NOT_RUN),
    /** Accepted, not started yet. */
    QUEUED(false, SealOutcome.State.NOT_RUN),
    /** Sent to the target. */
    RUNNING(false, SealOutcome.State.RUNNING),
    /** Completed; the result may have been dropped. */
    DONE(true, SealOutcome.State.DONE),
    /** Sent to the target, without a result. */
    FAILED(true, SealOutcome.State.UNKNOWN),
    /** Never ran and never will. */
    REFUSED(true, SealOutcome.State.NOT_RUN),
    /** Never ran and never will, because an entry asked what became of it first. */
    SEALED(true, SealOutcome.State.NOT_RUN),
    /** Addressed to another incarnation of the agent, which may have run it; never runs here. */
    FOREIGN(true, SealOutcome.State.UNKNOWN),
    /** Belongs to a range whose records were dropped; never runs. */
    FORGOTTEN(true, SealOutcome.State.UNKNOWN);

    private final boolean ended;
    private final SealOutcome.State sealState;

    AttemptState(boolean ended, SealOutcome.State sealState) {
        this.ended = ended;
        this.sealState = sealState;
    }

    /** Returns whether nothing happens to the attempt any more. */
    public boolean ended() {
        return ended;
    }

    /** Returns whether the attempt has been accepted and has not ended. */
    public boolean active() {
        return this == QUEUED || this == RUNNING;
    }

    /** Returns whether it is proven that the attempt neither ran nor will run. */
    public boolean refused() {
        return this == REFUSED || this == SEALED;
    }

    /** Returns what a seal of an attempt in this state answers, provided that a result is at hand. */
    SealOutcome.State sealState() {
        return sealState;
    }
}
