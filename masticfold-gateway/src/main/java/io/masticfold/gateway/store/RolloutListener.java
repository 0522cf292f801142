package io.masticfold.gateway.store;

import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Maintains the orders that move pools to other software versions. Not thread-safe. */
final class RolloutListener extends AbstractKindListener {

    private final StoreDialect dialect;
    private final Consumer<List<RolloutOrder>> receiver;
    private final Map<String, RolloutOrder> orders = new TreeMap<>();
    private boolean complete;

    RolloutListener(
            StoreDialect dialect,
            Consumer<List<RolloutOrder>> receiver,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.ROLLOUTS, reachability, log);
        this.dialect = dialect;
        this.receiver = receiver;
    }

    /** Returns whether the orders have been read at least once. */
    boolean complete() {
        return complete;
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        orders.clear();
        objects.forEach(this::put);
        complete = true;
        receiver.accept(List.copyOf(orders.values()));
    }

    @Override
    public void changed(List<StoreObject> objects, long _revision) {
        for (StoreObject object : objects) {
            if (object.deleted()) {
                orders.remove(object.name());
            } else {
                put(object);
            }
        }
        receiver.accept(List.copyOf(orders.values()));
    }

    private void put(StoreObject object) {
        dialect.decodeRollout(object)
                .filter(order -> order.pool().equals(object.name()))
                .ifPresentOrElse(order -> orders.put(object.name(), order), () -> {
                    orders.remove(object.name());
                    log().important(GatewayEvent.ROLLOUT_UNREADABLE)
                            .addKeyValue("object", object.name())
                            .log();
                });
    }
}
