package io.masticfold.core.matrix;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import java.util.Collection;

/** Process that holds a replica of the configuration. */
interface ConfigHolder {

    /** Merges objects into the replica and returns whether any of them was newer. */
    boolean merge(Collection<ConfigObject> objects);

    /** Returns the current configuration. */
    ConfigSnapshot snapshot();

    /** Returns the name and incarnation of the process. */
    String processName();

    /** Returns the virtual time of the last start or the end of the last freeze, in nanoseconds. */
    long runningSinceNanos();

    /** Returns the current process; a restart replaces it. */
    SimulatedProcess process();
}
