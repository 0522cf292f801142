package io.masticfold.core.check;

/** Parts of a configuration. */
public enum ConfigSection {
    CONFIGURATION,
    LIMITS,
    ROUTE,
    POOL,
    WORKSPACE
}
