package io.masticfold.gateway.quarantine;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import io.masticfold.gateway.store.ObjectStoreClient;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the quarantined parts in the store, one object each, so that they outlive all gateways and an operator can
 * remove them. The store is read at the start, and at intervals while parts are quarantined. Not thread-safe.
 */
public final class QuarantineStore {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Delay before a failed call is retried. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Interval of reads while parts are quarantined; bounds the time until an operator's removal is noticed. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(10);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final RateLimitedLog log;

    /** Parts whose objects were seen in the store, with its era at that time. */
    private final Map<String, Long> storedEras = new HashMap<>();

    private final Set<String> writing = new HashSet<>();
    private @Nullable PromptQuarantine quarantine;

    /** Creates the access to the store. Nothing is read before {@link #start}. */
    public QuarantineStore(ObjectStoreClient store, StoreDialect dialect, Scheduler scheduler, RateLimitedLog log) {
        this.store = store;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.log = log;
    }

    void start(PromptQuarantine parts) {
        quarantine = parts;
        readAtStart();
    }

    private void readAtStart() {
        read(
                dialect.listUri(StoreKind.QUARANTINED_PARTS, null),
                () -> scheduler.schedule(RETRY_DELAY, this::readAtStart));
    }

    private void readPeriodically() {
        scheduler.schedule(READ_INTERVAL, () -> {
            if (quarantine == null || quarantine.parts().isEmpty()) {
                readPeriodically();
            } else {
                read(dialect.listUri(StoreKind.QUARANTINED_PARTS, null), this::readPeriodically);
            }
        });
    }

    private void read(String uri, Runnable onFailure) {
        store.read(uri, TIMEOUT, result -> {
            if (result instanceof CallResult.Answered answered
                    && answered.status() == HttpResponseStatus.OK.code()
                    && merge(answered)) {
                readPeriodically();
            } else {
                onFailure.run();
            }
        });
    }

    private boolean merge(CallResult.Answered answered) {
        List<StoreObject> objects;
        try {
            objects = dialect.decodePage(answered.body()).objects();
        } catch (MasticfoldException e) {
            log.important(GatewayEvent.QUARANTINE_UNREADABLE)
                    .addKeyValue("problem", e.getMessage())
                    .log();
            return false;
        }
        long era = dialect.decodeEra(answered.headers());
        Set<String> names = objects.stream().map(StoreObject::name).collect(Collectors.toSet());
        PromptQuarantine parts = quarantine;
        if (parts != null) {
            for (String part : parts.parts()) {
                if (!names.contains(part)) {
                    handleMissing(parts, part, era);
                }
            }
            names.forEach(part -> parts.adopt(part, "store"));
        }
        names.forEach(part -> storedEras.put(part, era));
        return true;
    }

    /** Removes a part that an operator has deleted; writes one that was never stored or that a restore has lost. */
    private void handleMissing(PromptQuarantine parts, String part, long era) {
        Long storedEra = storedEras.get(part);
        if (storedEra != null && storedEra == era) {
            parts.removeByOperator(part);
        } else {
            add(part);
        }
    }

    /** Writes a part until it is stored. */
    void add(String part) {
        if (writing.add(part)) {
            write(part);
        }
    }

    private void write(String part) {
        store.create(
                dialect.createUri(StoreKind.QUARANTINED_PARTS),
                dialect.encodeQuarantinedPart(part),
                TIMEOUT,
                result -> written(part, result));
    }

    private void written(String part, CallResult result) {
        boolean exists = result instanceof CallResult.Answered answered
                && (HttpStatusClass.valueOf(answered.status()) == HttpStatusClass.SUCCESS
                        || answered.status() == HttpResponseStatus.CONFLICT.code());
        if (exists && writing.remove(part)) {
            storedEras.put(part, dialect.decodeEra(((CallResult.Answered) result).headers()));
        } else if (exists) {
            // The part was cleared during the write.
            delete(part);
        } else if (writing.contains(part)) {
            scheduler.schedule(RETRY_DELAY, () -> {
                if (writing.contains(part)) {
                    write(part);
                }
            });
        }
    }

    /** Removes a part that is quarantined no more; a removal that fails is repeated when the part is read again. */
    void remove(String part) {
        writing.remove(part);
        if (storedEras.remove(part) != null) {
            delete(part);
        }
    }

    private void delete(String part) {
        store.delete(dialect.objectUri(StoreKind.QUARANTINED_PARTS, part), TIMEOUT, _result -> {});
    }
}
