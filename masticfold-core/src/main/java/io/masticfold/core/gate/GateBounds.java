package io.masticfold.core.gate;

import io.masticfold.core.model.Target;

/**
 * Configured limits of a target.
 *
 * @param cold maximum number of concurrent calls during cold start
 * @param max maximum number of concurrent calls when warm
 * @param queue maximum number of queued attempts
 */
record GateBounds(int cold, int max, int queue) {

    /** Limits of a target that is not configured: no attempt is admitted. */
    static final GateBounds NONE = new GateBounds(0, 0, 0);

    static GateBounds of(Target target) {
        return new GateBounds(target.coldConcurrency(), target.maxConcurrency(), target.queueLimit());
    }
}
