package io.masticfold.core.shed;

import io.masticfold.core.attempt.TargetLoad;

/** Receives how attempts at the targets of a pool end. Safe for use by several threads. */
public interface PoolSignals {

    /** Ignores all signals. */
    PoolSignals NONE = (_pool, _overloaded, _load) -> {};

    /**
     * Takes the end of one attempt.
     *
     * @param pool pool of the target
     * @param overloaded whether the attempt was refused or timed out for lack of capacity
     * @param load load of the target when the attempt ended
     */
    void observe(String pool, boolean overloaded, TargetLoad load);
}
