package io.masticfold.core.gate;

/** Phases of an accepted attempt at the gate. */
enum RunPhase {
    /** Waits in the queue. */
    QUEUED(true),
    /** Holds a concurrency slot; the checks before the call have not been repeated yet. */
    RESERVED(true),
    /** Sent to the target. */
    RUNNING(false),
    /** Ended; its outcome has been decided. */
    ENDED(false);

    private final boolean waiting;

    RunPhase(boolean waiting) {
        this.waiting = waiting;
    }

    /** Returns whether the attempt has not been sent to the target, so that it can still be refused as not run. */
    boolean waiting() {
        return waiting;
    }
}
