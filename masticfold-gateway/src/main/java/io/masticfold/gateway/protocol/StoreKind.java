package io.masticfold.gateway.protocol;

/** Kinds of objects that the gateway uses in the store. */
public enum StoreKind {
    /** Configuration written by operators. */
    CONFIGURATION,
    /** Entries that targets write about themselves. */
    TARGETS,
    /** Availability zones that operators have taken out of service. */
    ZONES_OUT,
    /** Entries that gateways write about themselves. */
    GATEWAYS,
    /** Prompt parts and requests that crash targets. */
    QUARANTINED_PARTS,
    /** Software versions that began streams, one object for each gateway. */
    STREAM_RECORDS,
    /** Orders of operators that move a pool to another software version, and their state. */
    ROLLOUTS
}
