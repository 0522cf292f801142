package io.masticfold.core.shed;

import io.masticfold.core.attempt.TargetLoad;

/** Is notified when attempts at the targets of a pool end. Safe for use by several threads. */
public interface PoolAttemptListener {

    /** Ignores all notifications. */
    PoolAttemptListener NONE = (_pool, _overloaded, _load) -> {};

    /**
     * Called at the end of an attempt.
     *
     * @param pool pool of the target
     * @param overloaded whether the attempt was refused or timed out for lack of capacity
     * @param load load of the target when the attempt ended
     */
    void attemptEnded(String pool, boolean overloaded, TargetLoad load);
}
