package io.masticfold.gateway.quarantine;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StorePage;
import io.masticfold.gateway.store.ObjectStoreClient;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the quarantined suspects in the store, one object each, so that they outlive all gateways and an operator can
 * remove them. The store is read at the start, and at intervals while anything is quarantined. Not thread-safe.
 */
public final class QuarantineStore {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Delay before a failed call is retried. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Interval of reads while anything is quarantined; bounds the time until an operator's removal is noticed. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(10);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final RateLimitedLog log;

    /** Suspects whose objects were seen in the store, with its era at that time. */
    private final Map<String, Long> storedEras = new HashMap<>();

    private final Set<String> writing = new HashSet<>();
    private @Nullable PoisonQuarantine quarantine;

    /** Creates the access to the store. Nothing is read before {@link #start}. */
    public QuarantineStore(ObjectStoreClient store, StoreDialect dialect, Scheduler scheduler, RateLimitedLog log) {
        this.store = store;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.log = log;
    }

    void start(PoisonQuarantine owner) {
        quarantine = owner;
        readAtStart();
    }

    private void readAtStart() {
        read(() -> scheduler.schedule(RETRY_DELAY, this::readAtStart));
    }

    private void readPeriodically() {
        scheduler.schedule(READ_INTERVAL, () -> {
            if (quarantine == null || quarantine.quarantined().isEmpty()) {
                readPeriodically();
            } else {
                read(this::readPeriodically);
            }
        });
    }

    private void read(Runnable onFailure) {
        // What is stored while the read is under way may be missing from it.
        readPage(Map.copyOf(storedEras), List.of(), null, onFailure);
    }

    /** Reads the page after the given names; the list is merged once the last page was read. */
    private void readPage(
            Map<String, Long> storedBefore, List<String> before, @Nullable String after, Runnable onFailure) {
        store.read(dialect.listUri(StoreKind.QUARANTINED_PARTS, after), TIMEOUT, result -> {
            Optional<StorePage> page = decode(result);
            if (page.isEmpty()) {
                onFailure.run();
                return;
            }
            List<String> names = new ArrayList<>(before);
            page.get().objects().forEach(object -> names.add(object.name()));
            if (page.get().more() && !names.isEmpty()) {
                readPage(storedBefore, names, names.get(names.size() - 1), onFailure);
            } else {
                merge(storedBefore, names, dialect.decodeEra(((CallResult.Answered) result).headers()));
                readPeriodically();
            }
        });
    }

    private Optional<StorePage> decode(CallResult result) {
        if (!(result instanceof CallResult.Answered answered) || answered.status() != HttpResponseStatus.OK.code()) {
            return Optional.empty();
        }
        try {
            return Optional.of(dialect.decodePage(answered.body()));
        } catch (MasticfoldException e) {
            log.important(GatewayEvent.QUARANTINE_UNREADABLE)
                    .addKeyValue("problem", e.getMessage())
                    .log();
            return Optional.empty();
        }
    }

    private void merge(Map<String, Long> storedBefore, List<String> stored, long era) {
        Set<String> names = Set.copyOf(stored);
        PoisonQuarantine known = quarantine;
        if (known != null) {
            for (String name : known.quarantined()) {
                if (!names.contains(name)) {
                    handleMissing(known, name, storedBefore.get(name), era);
                }
            }
            names.forEach(name -> known.adopt(name, "store"));
        }
        names.forEach(name -> storedEras.put(name, era));
        if (known != null) {
            // The gateway that narrowed a group may have ended before it removed its object.
            names.stream().filter(known::covered).forEach(this::remove);
        }
    }

    /** Releases a suspect that an operator has deleted; writes one that was never stored or that a restore has lost. */
    private void handleMissing(PoisonQuarantine known, String name, @Nullable Long storedEra, long era) {
        if (storedEra != null && storedEra == era) {
            known.removeByOperator(name);
        } else {
            add(name);
        }
    }

    /** Writes a suspect until it is stored. */
    void add(String name) {
        if (writing.add(name)) {
            write(name);
        }
    }

    private void write(String name) {
        store.create(
                dialect.createUri(StoreKind.QUARANTINED_PARTS),
                dialect.encodeQuarantinedPart(name),
                TIMEOUT,
                result -> written(name, result));
    }

    private void written(String name, CallResult result) {
        boolean exists = result instanceof CallResult.Answered answered
                && (HttpStatusClass.valueOf(answered.status()) == HttpStatusClass.SUCCESS
                        || answered.status() == HttpResponseStatus.CONFLICT.code());
        if (exists && writing.remove(name)) {
            storedEras.put(name, dialect.decodeEra(((CallResult.Answered) result).headers()));
        } else if (exists) {
            // The suspect was cleared during the write.
            delete(name);
        } else if (writing.contains(name)) {
            scheduler.schedule(RETRY_DELAY, () -> {
                if (writing.contains(name)) {
                    write(name);
                }
            });
        }
    }

    /** Removes a suspect that is quarantined no more; a removal that fails is repeated when it is read again. */
    void remove(String name) {
        writing.remove(name);
        if (storedEras.remove(name) != null) {
            delete(name);
        }
    }

    private void delete(String name) {
        store.delete(dialect.objectUri(StoreKind.QUARANTINED_PARTS, name), TIMEOUT, _result -> {});
    }
}
