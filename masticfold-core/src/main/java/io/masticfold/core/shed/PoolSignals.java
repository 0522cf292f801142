package io.masticfold.core.shed;

/** Receives how attempts at the targets of a pool end. Safe for use by several threads. */
public interface PoolSignals {

    /** Ignores all signals. */
    PoolSignals NONE = (_pool, _overloaded) -> {};

    /**
     * Takes the end of one attempt.
     *
     * @param pool pool of the target
     * @param overloaded whether the attempt was refused or timed out for lack of capacity
     */
    void observe(String pool, boolean overloaded);
}
