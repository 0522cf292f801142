package io.masticfold.core.membership;

/** Lists the roles of an entry in the election of watchers. */
public enum WatchRole {
    /** Holds a lease and watches the object API. */
    WATCHING,
    /** Contends for a lease, because no watcher confirms the configuration or a vacancy check is due. */
    CONTENDING,
    /** Receives the configuration from agents only. */
    STANDBY;

    /** Returns whether the entry holds a lease or contends for one. */
    public boolean contends() {
        return this != STANDBY;
    }
}
