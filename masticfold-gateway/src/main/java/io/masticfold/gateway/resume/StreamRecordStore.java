package io.masticfold.gateway.resume;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import io.masticfold.gateway.protocol.StorePage;
import io.masticfold.gateway.protocol.StreamRecord;
import io.masticfold.gateway.store.ObjectStoreClient;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this gateway's record of streams in the store, as one object, and reads those of all gateways at the start, so
 * that the records outlive all gateways. Not thread-safe.
 */
public final class StreamRecordStore {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final ObjectStoreClient store;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final String node;

    /**
     * Creates the access to the store. Nothing is read before {@link #read}.
     *
     * @param node name of this gateway and its object
     */
    public StreamRecordStore(
            ObjectStoreClient store, StoreDialect dialect, Scheduler scheduler, RateLimitedLog log, String node) {
        this.store = store;
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.log = log;
        this.node = node;
    }

    /** Returns the name of this gateway. */
    String node() {
        return node;
    }

    /**
     * Reads the records of all gateways, until the store has answered.
     *
     * @param receiver receives each record
     * @param onComplete called after the last one
     */
    void read(Consumer<StreamRecord> receiver, Runnable onComplete) {
        readOnce(receiver, onComplete, () -> scheduler.schedule(RETRY_DELAY, () -> read(receiver, onComplete)));
    }

    /**
     * Reads the records of all gateways once.
     *
     * @param receiver receives each record
     * @param onComplete called after the last one
     * @param onFailure called instead if the store has not answered
     */
    void readOnce(Consumer<StreamRecord> receiver, Runnable onComplete, Runnable onFailure) {
        readPage(null, receiver, onComplete, onFailure);
    }

    private void readPage(
            @Nullable String after, Consumer<StreamRecord> receiver, Runnable onComplete, Runnable onFailure) {
        store.read(dialect.listUri(StoreKind.STREAM_RECORDS, after), TIMEOUT, result -> {
            Optional<StorePage> page = decode(result);
            if (page.isEmpty()) {
                onFailure.run();
                return;
            }
            List<StoreObject> objects = page.get().objects();
            objects.stream().map(this::decodeRecord).flatMap(Optional::stream).forEach(receiver);
            if (page.get().more() && !objects.isEmpty()) {
                readPage(objects.get(objects.size() - 1).name(), receiver, onComplete, onFailure);
            } else {
                onComplete.run();
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
            logUnreadable("list", String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    private Optional<StreamRecord> decodeRecord(StoreObject object) {
        Optional<StreamRecord> record = dialect.decodeStreamRecord(object);
        if (record.isEmpty()) {
            logUnreadable(object.name(), "fields are missing or of another type");
        }
        return record;
    }

    private void logUnreadable(String object, String problem) {
        log.important(GatewayEvent.STREAM_RECORD_UNREADABLE)
                .addKeyValue("object", object)
                .addKeyValue("problem", problem)
                .log();
    }

    /**
     * Replaces this gateway's record, or creates it.
     *
     * @param receiver receives whether the store has it
     */
    void write(StreamRecord record, Consumer<Boolean> receiver) {
        byte[] body = dialect.encodeStreamRecord(node, record);
        store.replace(dialect.objectUri(StoreKind.STREAM_RECORDS, node), body, TIMEOUT, result -> {
            if (status(result) == HttpResponseStatus.NOT_FOUND.code()) {
                store.create(
                        dialect.createUri(StoreKind.STREAM_RECORDS),
                        body,
                        TIMEOUT,
                        created -> receiver.accept(succeeded(created)));
            } else {
                receiver.accept(succeeded(result));
            }
        });
    }

    private static int status(CallResult result) {
        return result instanceof CallResult.Answered answered ? answered.status() : 0;
    }

    private static boolean succeeded(CallResult result) {
        return HttpStatusClass.valueOf(status(result)) == HttpStatusClass.SUCCESS;
    }
}
