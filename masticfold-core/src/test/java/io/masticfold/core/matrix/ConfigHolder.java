package io.masticfold.core.matrix;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import java.util.Collection;

/** Represents a process that holds a replica of the configuration. */
interface ConfigHolder {

    /** Merges objects into the replica; returns whether anything was newer. */
    boolean merge(Collection<ConfigObject> objects);

    /** Returns the configuration in force. */
    ConfigSnapshot snapshot();

    /** Returns the name and incarnation of the process. */
    String holder();

    /** Returns the time of the last start or resumption, in nanoseconds. */
    long aliveSinceNanos();

    /** Returns the running process. */
    VirtualProcess process();
}
