package io.masticfold.platform.store;

import io.masticfold.core.claim.Claim;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.platform.json.JsonProblemException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes claims older than the retention period, at a bounded rate and only while this process holds a lease. A claim
 * that changed since it was listed or that cannot be decoded is not deleted.
 */
public final class ClaimJanitor {

    /** Retention period of claims. */
    public static final Duration RETENTION = Duration.ofHours(24);

    private static final Logger LOG = LoggerFactory.getLogger(ClaimJanitor.class);

    private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(10);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** 20 deletions per second leave most of the several hundred writes per second of the store to new claims. */
    private static final Duration DELETE_INTERVAL = Duration.ofMillis(50);

    private final ObjectStore store;
    private final LeaseClient lease;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final AtomicBoolean running = new AtomicBoolean();
    private final Deque<StoredObject> expired = new ArrayDeque<>();
    private int deleted;

    /**
     * Creates a janitor.
     *
     * @param lease client of the lease {@code claim-janitor}; the caller starts and stops it
     */
    public ClaimJanitor(ObjectStore store, LeaseClient lease, Scheduler scheduler, Telemetry telemetry) {
        this.store = store;
        this.lease = lease;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
    }

    /** Schedules the first sweep after one interval. */
    public void start() {
        if (!running.getAndSet(true)) {
            scheduler.schedule(SWEEP_INTERVAL, this::sweep);
        }
    }

    /** Stops the sweeps; a deletion in progress may still take effect. */
    public void stop() {
        running.set(false);
    }

    private boolean mayDelete() {
        return running.get() && lease.lease().isPresent();
    }

    private void sweep() {
        if (!running.get()) {
            return;
        }
        deleted = 0;
        expired.clear();
        if (mayDelete()) {
            store.list(List.of(ObjectClaimStore.KIND), 0, TIMEOUT, this::onListReply);
        } else {
            finishSweep();
        }
    }

    private void onListReply(PageReply reply) {
        if (reply instanceof PageReply.Page page) {
            page.objects().stream().filter(this::expired).forEach(expired::add);
        }
        deleteNext();
    }

    private boolean expired(StoredObject object) {
        if (object.spec() == null) {
            return false;
        }
        try {
            Claim claim = ClaimCodec.decode(object.name(), object.spec());
            return scheduler.now().toEpochMilli() - claim.createdMillis() > RETENTION.toMillis();
        } catch (JsonProblemException e) {
            PlatformEvent.CLAIM_MALFORMED.log(LOG, object.name(), object.version(), e.getMessage());
            return false;
        }
    }

    private void deleteNext() {
        StoredObject next = expired.poll();
        if (next == null || !mayDelete()) {
            finishSweep();
            return;
        }
        store.delete(ObjectClaimStore.KIND, next.name(), next.version(), TIMEOUT, reply -> {
            if (reply instanceof StoreReply.Written) {
                deleted++;
                telemetry.count("claim_deleted");
            }
            scheduler.schedule(DELETE_INTERVAL, this::deleteNext);
        });
    }

    private void finishSweep() {
        if (deleted > 0) {
            PlatformEvent.CLAIMS_DELETED.log(LOG, deleted);
        }
        scheduler.schedule(SWEEP_INTERVAL, this::sweep);
    }
}
