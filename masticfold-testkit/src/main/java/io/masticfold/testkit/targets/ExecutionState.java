package io.masticfold.testkit.targets;

/** Lists how an execution stands. */
public enum ExecutionState {
    /** Waits for a slot. */
    QUEUED,
    /** Holds a slot. */
    RUNNING,
    /** Took effect. */
    DONE,
    /** Ended with an error. */
    FAILED,
    /** Was cancelled while waiting: had no effect. */
    CANCELLED_WAITING,
    /** Was cancelled while running. */
    CANCELLED_RUNNING;

    /** Returns whether the execution ever held a slot. */
    public boolean ran() {
        return this != QUEUED && this != CANCELLED_WAITING;
    }

    /** Returns whether the execution has ended. */
    public boolean ended() {
        return this != QUEUED && this != RUNNING;
    }
}
