package io.masticfold.gateway.store;

import io.masticfold.core.directory.RegistrationPolicy;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Optional;

/**
 * Keeps this gateway's entry in the store, so that its peers find it. An entry of an earlier process of the same name
 * at another address is replaced; one of a later process stays. Not thread-safe.
 */
public final class GatewayRegistration {

    /** Timeout of a write. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Delay before a failed write is retried. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final GatewayAddress address;
    private Optional<StoreObject> entry = Optional.empty();
    private long generation = RegistrationPolicy.NO_GENERATION;
    private long yieldedTo = RegistrationPolicy.NO_GENERATION;
    private boolean writing;
    private boolean stopped;

    /** Creates a registration. Nothing is written before {@link #register}. */
    public GatewayRegistration(
            ObjectStoreClient store,
            StoreDialect dialect,
            Scheduler scheduler,
            RateLimitedLog log,
            GatewayAddress address) {
        this.store = store;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.log = log;
        this.address = address;
    }

    /** Returns the name of this gateway. */
    String name() {
        return address.name();
    }

    /** Writes the entry, unless a write is in progress. An entry that exists is judged once it is listed. */
    public void register() {
        if (writing || stopped) {
            return;
        }
        writing = true;
        long next = RegistrationPolicy.next(RegistrationPolicy.NO_GENERATION, generation);
        store.create(
                dialect.createUri(StoreKind.GATEWAYS),
                dialect.encodeGateway(address.withGeneration(next)),
                TIMEOUT,
                result -> written(result, next, Optional.empty(), () -> {}));
    }

    /** Called when the store lists the entry under the name of this gateway; empty if it lists none. */
    void listed(Optional<StoreObject> listed) {
        entry = listed;
        reconcile();
    }

    private void reconcile() {
        if (writing || stopped) {
            return;
        }
        if (entry.isEmpty()) {
            register();
            return;
        }
        Optional<GatewayAddress> known = entry.flatMap(dialect::decodeGateway);
        long listed = known.map(GatewayAddress::generation).orElse(RegistrationPolicy.NO_GENERATION);
        boolean sameAddress = known.map(GatewayAddress::peerAddress)
                .filter(address.peerAddress()::equals)
                .isPresent();
        switch (RegistrationPolicy.decide(sameAddress, listed, generation)) {
            case KEEP -> generation = Math.max(generation, Math.max(1, listed));
            case REPLACE -> replace(entry.get(), listed);
            case YIELD -> yieldTo(listed);
            default -> throw new IllegalStateException("unknown action");
        }
    }

    private void replace(StoreObject replaced, long listed) {
        writing = true;
        long next = RegistrationPolicy.next(listed, generation);
        store.replace(
                dialect.objectUri(StoreKind.GATEWAYS, address.name()),
                dialect.encodeGateway(address.withGeneration(next), replaced.revision()),
                TIMEOUT,
                result -> written(
                        result, next, Optional.of(replaced), () -> log.important(GatewayEvent.REGISTRATION_REPLACED)
                                .addKeyValue("node", address.name())
                                .addKeyValue("peer", address.peerAddress())
                                .addKeyValue("generation", next)
                                .log()));
    }

    private void written(CallResult result, long next, Optional<StoreObject> before, Runnable onSuccess) {
        writing = false;
        int status = result instanceof CallResult.Answered answered ? answered.status() : 0;
        if (status > 0 && HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS) {
            generation = Math.max(generation, next);
            onSuccess.run();
        } else if (status != HttpResponseStatus.CONFLICT.code()) {
            // It is not known whether the entry was written; creating it tells whether there is one.
            scheduler.schedule(RETRY_DELAY, this::register);
        } else if (entry.isPresent() && !entry.equals(before)) {
            // The entry that is in the way was listed during the write.
            reconcile();
        }
    }

    private void yieldTo(long listed) {
        if (yieldedTo != listed) {
            yieldedTo = listed;
            log.important(GatewayEvent.NAME_TAKEN_OVER)
                    .addKeyValue("node", address.name())
                    .addKeyValue("generation", generation)
                    .addKeyValue("listedGeneration", listed)
                    .log();
        }
    }

    /** Writes nothing any more. */
    public void stop() {
        stopped = true;
    }
}
