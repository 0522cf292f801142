package io.masticfold.core.gate;

import io.masticfold.core.model.Target;

/**
 * Configured limits of a target.
 *
 * @param coldConcurrency maximum number of concurrent calls during cold start
 * @param maxConcurrency maximum number of concurrent calls when warm
 * @param queueLimit maximum number of queued attempts
 */
record TargetBounds(int coldConcurrency, int maxConcurrency, int queueLimit) {

    /** Limits of a target that is not configured: no attempt is admitted. */
    static final TargetBounds ADMITS_NOTHING = new TargetBounds(0, 0, 0);

    static TargetBounds of(Target target) {
        return new TargetBounds(target.coldConcurrency(), target.maxConcurrency(), target.queueLimit());
    }
}
