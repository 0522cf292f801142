package io.masticfold.core.gate;

/** Lists the phases of an accepted attempt at the gate. */
enum RunPhase {
    /** Waits in the queue. */
    QUEUED(true),
    /** Holds a place under the limit; the last checks before the call are still to come. */
    RESERVED(true),
    /** Sent to the target. */
    RUNNING(false),
    /** Ended with an outcome. */
    ENDED(false);

    private final boolean waiting;

    RunPhase(boolean waiting) {
        this.waiting = waiting;
    }

    /** Returns whether the attempt can still be refused as not run. */
    boolean waiting() {
        return waiting;
    }
}
