package io.masticfold.core.model;

import org.jspecify.annotations.Nullable;

/**
 * Describes a target, which is a model engine, a member of a stage pool or a plain service, and its agent.
 *
 * @param name name of the target
 * @param zone name of the availability zone in which the target runs
 * @param pool name of the pool that the target belongs to
 * @param type kind of the target
 * @param agent address of the agent, {@code ip:port}
 * @param address address of the target itself, {@code ip:port}
 * @param state whether operators let the target accept new work
 * @param maxConcurrency maximum number of concurrent attempts when warm
 * @param coldConcurrency maximum number of concurrent attempts during a cold start
 * @param queueLimit maximum number of attempts that wait at the agent
 * @param checksFencing whether the target refuses orders with an outdated fencing number
 * @param checksCaller whether the target authenticates its callers
 * @param desired the model that the engine should serve, null if it receives no orders
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

    /** Maximum value of {@code maxConcurrency} and {@code queueLimit}. */
    public static final int MAX_CONCURRENCY = 100_000;

    /** Validates the specification. */
    public Target {
        SpecChecks.checkName("target", name);
        SpecChecks.checkName("zone", zone);
        SpecChecks.checkName("pool", pool);
        SpecChecks.checkAddress("agent", agent);
        SpecChecks.checkAddress("address", address);
        SpecChecks.checkRange("maxConcurrency", maxConcurrency, 1, MAX_CONCURRENCY);
        SpecChecks.checkRange("coldConcurrency", coldConcurrency, 1, maxConcurrency);
        SpecChecks.checkRange("queueLimit", queueLimit, 0, MAX_CONCURRENCY);
        if (desired != null && !type.acceptsOrders()) {
            throw new IllegalArgumentException("desired is for engines only, target '" + name + "' is " + type);
        }
    }

    /** Returns a copy of this target with another state. */
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
