package io.masticfold.gateway.request;

import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.load.TargetLoads;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Holds the target pools by name and creates them on first use. Used by one thread. */
public final class TargetPools {

    private final GatewayContext context;
    private final TargetRateLimits limits;
    private final TargetLoads loads;
    private final Function<String, RetryBudget> budgets;
    private final Map<String, TargetPool> pools = new HashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param limits knows the rate limits that targets name
     * @param loads knows the load of targets
     * @param budgets supplies the retry budget of a pool by its name
     */
    public TargetPools(
            GatewayContext context, TargetRateLimits limits, TargetLoads loads, Function<String, RetryBudget> budgets) {
        this.context = context;
        this.limits = limits;
        this.loads = loads;
        this.budgets = budgets;
    }

    /** Returns what is known of the load of targets. */
    TargetLoads loads() {
        return loads;
    }

    TargetPool pool(String name) {
        return pools.computeIfAbsent(name, key -> new TargetPool(context, limits, loads, key, budgets.apply(key)));
    }
}
