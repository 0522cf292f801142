package io.masticfold.core.model;

import org.jspecify.annotations.Nullable;

/**
 * Describes a target: a model engine, a member of a stage pool or a plain service, with the agent beside it.
 *
 * @param name name of the target
 * @param zone availability zone it stands in
 * @param pool pool it belongs to
 * @param type kind of target
 * @param agent address of its agent, {@code ip:port}
 * @param address address of the target itself, {@code ip:port}
 * @param state whether it takes new work
 * @param maxConcurrency most attempts at once when warm
 * @param coldConcurrency most attempts at once in cold start
 * @param queueLimit most attempts that wait at the agent
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param checksCaller whether it checks who calls it
 * @param desired what an engine should serve, null if no orders are given
 */
public record Target(
        String name,
        String zone,
        String pool,
        TargetKind type,
        String agent,
        String address,
        TargetState state,
        int maxConcurrency,
        int coldConcurrency,
        int queueLimit,
        boolean checksFencing,
        boolean checksCaller,
        @Nullable DesiredModel desired)
        implements ConfigSpec {

    /** Most attempts at once any target may be configured for. */
    public static final int MAX_CONCURRENCY = 100_000;

    /** Checks the ranges. */
    public Target {
        ModelSupport.checkName("target", name);
        ModelSupport.checkName("zone", zone);
        ModelSupport.checkName("pool", pool);
        ModelSupport.checkAddress("agent", agent);
        ModelSupport.checkAddress("address", address);
        ModelSupport.checkRange("maxConcurrency", maxConcurrency, 1, MAX_CONCURRENCY);
        ModelSupport.checkRange("coldConcurrency", coldConcurrency, 1, maxConcurrency);
        ModelSupport.checkRange("queueLimit", queueLimit, 0, MAX_CONCURRENCY);
        if (desired != null && !type.takesOrders()) {
            throw new IllegalArgumentException("desired is for engines only, target '" + name + "' is " + type);
        }
    }

    /** Returns the same target in another state. */
    public Target withState(TargetState newState) {
        return new Target(
                name,
                zone,
                pool,
                type,
                agent,
                address,
                newState,
                maxConcurrency,
                coldConcurrency,
                queueLimit,
                checksFencing,
                checksCaller,
                desired);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.TARGET;
    }
}
