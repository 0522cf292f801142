package io.masticfold.core.gate;

import io.masticfold.core.model.Target;

/**
 * Holds the configured bounds of a target.
 *
 * @param cold most calls at once in cold start
 * @param max most calls at once when warm
 * @param queue most attempts that wait
 */
record GateBounds(int cold, int max, int queue) {

    /** The bounds while the target is not configured: nothing runs. */
    static final GateBounds NONE = new GateBounds(0, 0, 0);

    static GateBounds of(Target target) {
        return new GateBounds(target.coldConcurrency(), target.maxConcurrency(), target.queueLimit());
    }
}
