package io.masticfold.gateway.request;

import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.limit.TargetRateLimits;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Holds the target pools by name and creates them on first use. Used by one thread. */
public final class TargetPools {

    private final GatewayContext context;
    private final TargetRateLimits limits;
    private final Function<String, RetryBudget> budgets;
    private final Map<String, TargetPool> pools = new HashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param limits knows the rate limits that targets name
     * @param budgets supplies the retry budget of a pool by its name
     */
    public TargetPools(GatewayContext context, TargetRateLimits limits, Function<String, RetryBudget> budgets) {
        this.context = context;
        this.limits = limits;
        this.budgets = budgets;
    }

    TargetPool pool(String name) {
        return pools.computeIfAbsent(name, key -> new TargetPool(context, limits, key, budgets.apply(key)));
    }
}
