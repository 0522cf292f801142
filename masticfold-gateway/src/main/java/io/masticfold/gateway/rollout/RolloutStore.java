package io.masticfold.gateway.rollout;

import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.rollout.RolloutState;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.store.ObjectStoreClient;
import java.time.Duration;

/** Writes the state of orders to the store, under the condition that nobody else has changed it. Not thread-safe. */
public final class RolloutStore {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private boolean writing;

    /** Creates the access to the store. */
    public RolloutStore(ObjectStoreClient store, StoreDialect dialect) {
        this.store = store;
        this.dialect = dialect;
    }

    /**
     * Writes a state, unless a write is in progress. What the store holds afterwards is learnt by watching it: an
     * answer may be lost, and the write may lose to that of another gateway.
     *
     * @return whether the write was begun
     */
    boolean write(RolloutOrder order, RolloutState state) {
        if (writing) {
            return false;
        }
        writing = true;
        store.replace(
                dialect.statusUri(StoreKind.ROLLOUTS, order.pool()),
                dialect.encodeRolloutStatus(order, state),
                TIMEOUT,
                (CallResult _result) -> writing = false);
        return true;
    }
}
