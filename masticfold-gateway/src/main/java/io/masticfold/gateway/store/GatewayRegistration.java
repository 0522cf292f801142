package io.masticfold.gateway.store;

import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;

/** Writes this gateway's own entry to the store, until it is there. Not thread-safe. */
public final class GatewayRegistration {

    /** Timeout of the write. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Delay before a failed write is retried. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final GatewayAddress address;
    private boolean writing;
    private boolean stopped;

    /** Creates a registration. Nothing is written before {@link #register}. */
    public GatewayRegistration(
            ObjectStoreClient store, StoreDialect dialect, Scheduler scheduler, GatewayAddress address) {
        this.store = store;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.address = address;
    }

    /** Writes the entry, unless a write is in progress. An entry that exists stays as it is. */
    public void register() {
        if (writing || stopped) {
            return;
        }
        writing = true;
        store.create(
                dialect.createUri(StoreKind.GATEWAYS),
                dialect.encodeGateway(address.name(), address),
                TIMEOUT,
                this::handleResult);
    }

    private void handleResult(CallResult result) {
        boolean exists = result instanceof CallResult.Answered answered
                && (HttpStatusClass.valueOf(answered.status()) == HttpStatusClass.SUCCESS
                        || answered.status() == HttpResponseStatus.CONFLICT.code());
        writing = false;
        if (!exists) {
            scheduler.schedule(RETRY_DELAY, this::register);
        }
    }

    /** Writes nothing any more. */
    public void stop() {
        stopped = true;
    }
}
