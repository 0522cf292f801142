package io.masticfold.core.membership;

/** Lists what an entry does about the object API's configuration. */
public enum WatchRole {
    /** Holds a lease and watches the object API. */
    WATCHING,
    /** Contends for a lease, because watchers are missing or it is time to look. */
    CONTENDING,
    /** Learns the configuration from agents only. */
    STANDBY;

    /** Returns whether the entry takes part in the election. */
    public boolean contends() {
        return this != STANDBY;
    }
}
