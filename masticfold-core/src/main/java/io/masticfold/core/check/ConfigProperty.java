package io.masticfold.core.check;

/** Properties of the parts of a configuration that are compared or that a finding refers to. */
public enum ConfigProperty {
    /** The part as a whole. */
    ALL,
    VERSION,
    AUTHENTICATION,
    MAX_HEADER_BYTES,
    MAX_BODY_BYTES,
    HEADER_TIMEOUT,
    IDLE_TIMEOUT,
    NAME,
    HOST,
    PATH_PREFIX,
    KIND,
    TIMEOUT,
    LATENCY_OBJECTIVE,
    EVENT_PATIENCE,
    PRIORITY,
    MAX_ATTEMPTS,
    POOLS,
    STAGES,
    PUBLIC_ACCESS,
    CACHE_AFFINITY,
    MAX_CONNECTIONS,
    COLD_RATE,
    ENGINE,
    STAGE_POOL,
    KEYS
}
