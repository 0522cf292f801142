package io.masticfold.gateway.stage;

import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.GatewayContext;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Holds the stage pools by name. Used by one thread. */
public final class StagePools {

    private final GatewayContext context;
    private final Function<String, RetryBudget> budgets;
    private final Map<String, StagePool> pools = new HashMap<>();

    /**
     * Creates the holder.
     *
     * @param budgets retry budget of each pool
     */
    public StagePools(GatewayContext context, Function<String, RetryBudget> budgets) {
        this.context = context;
        this.budgets = budgets;
    }

    StagePool pool(String name) {
        return pools.computeIfAbsent(name, key -> new StagePool(context, key, budgets.apply(key)));
    }
}
