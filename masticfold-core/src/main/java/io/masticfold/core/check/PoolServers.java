package io.masticfold.core.check;

/**
 * Servers of a pool that are known when a configuration is checked.
 *
 * @param count servers that accept requests
 * @param startCold whether one of them is cold
 */
public record PoolServers(int count, boolean startCold) {

    /** A pool without servers. */
    public static final PoolServers NONE = new PoolServers(0, false);

    /** Returns these servers and another one. */
    public PoolServers plus(boolean cold) {
        return new PoolServers(count + 1, startCold || cold);
    }
}
