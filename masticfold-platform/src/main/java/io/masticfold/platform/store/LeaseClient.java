package io.masticfold.platform.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.core.time.Scheduler;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.platform.json.JsonSupport;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires and renews a lease, which is an object of kind {@code lease} that its holder updates periodically. A
 * contender takes the lease over once its version has not changed for the term plus a safety margin on the contender's
 * monotonic clock. The holder treats the lease as expired one safety margin before the end of the term, counted from
 * the time its last renewal was sent. No wall clocks are compared. Runs on the scheduler's thread; {@link #lease()} may
 * be called from any thread.
 */
public final class LeaseClient {

    /** Object kind of leases. */
    public static final String KIND = "lease";

    /** Duration of a lease term. */
    public static final Duration TERM = Duration.ofSeconds(10);

    /** Safety margin by which the holder stops early and a contender waits longer. */
    public static final Duration SAFETY_MARGIN = Duration.ofSeconds(2);

    private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);

    /**
     * A third of the term. This leaves time to retry a failed renewal after {@link #RETRY_DELAY} before the holder
     * stops at the end of the term minus the safety margin.
     */
    private static final Duration RENEWAL_INTERVAL = TERM.dividedBy(3);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ObjectStore store;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final String name;
    private final String holder;
    private final String session;
    private final AtomicBoolean running = new AtomicBoolean();
    private volatile @Nullable Lease lease;
    private long version;
    private long observedVersion;
    private long observedSinceNanos;

    /**
     * Creates a lease client.
     *
     * @param store the object API
     * @param scheduler runs the client and supplies its monotonic clock
     * @param random source of the session id, which distinguishes processes of the same name, and of the poll jitter
     * @param name name of the lease
     * @param holder name of this process
     */
    public LeaseClient(ObjectStore store, Scheduler scheduler, RandomGenerator random, String name, String holder) {
        this.store = store;
        this.scheduler = scheduler;
        this.random = random;
        this.name = name;
        this.holder = holder;
        this.session = holder + '-' + Long.toHexString(random.nextLong());
    }

    /** Starts contending for the lease. */
    public void start() {
        if (!running.getAndSet(true)) {
            scheduleStep(Duration.ZERO);
        }
    }

    /** Stops and releases the lease if held, so that the next holder need not wait until it expires. */
    public void stop() {
        if (running.getAndSet(false) && lease().isPresent()) {
            lease = null;
            store.put(KIND, name, version, changeId(), spec(""), TIMEOUT, _reply -> {});
        }
    }

    /** Returns the lease if it is currently held. */
    public Optional<Lease> lease() {
        return Optional.ofNullable(lease).filter(current -> current.held(scheduler));
    }

    private void step() {
        if (!running.get()) {
            return;
        }
        if (lease().isPresent()) {
            renew();
        } else {
            dropLease("not renewed in time");
            store.get(KIND, name, TIMEOUT, this::onReadReply);
        }
    }

    private void renew() {
        long sentNanos = scheduler.nanoTime();
        store.put(KIND, name, version, changeId(), spec(session), TIMEOUT, reply -> onRenewReply(reply, sentNanos));
    }

    private void onRenewReply(StoreReply reply, long sentNanos) {
        Lease current = lease;
        if (current != null && reply instanceof StoreReply.Written written) {
            version = written.version();
            lease = current.extendedTo(validUntil(sentNanos));
            scheduleStep(RENEWAL_INTERVAL);
        } else if (reply instanceof StoreReply.Conflict conflict && isOwn(conflict.current())) {
            // An earlier renewal by this process took effect although its response was lost.
            version = conflict.current().version();
            scheduleStep(Duration.ZERO);
        } else if (reply instanceof StoreReply.Conflict) {
            dropLease("taken over");
            scheduleStep(POLL_INTERVAL);
        } else {
            scheduleStep(RETRY_DELAY);
        }
    }

    private void onReadReply(StoreReply reply) {
        if (reply instanceof StoreReply.Absent) {
            acquire(0);
        } else if (reply instanceof StoreReply.Found found && isAvailable(found.object())) {
            acquire(found.object().version());
        } else {
            scheduleStep(POLL_INTERVAL);
        }
    }

    private boolean isAvailable(StoredObject object) {
        if (object.version() != observedVersion) {
            observedVersion = object.version();
            observedSinceNanos = scheduler.nanoTime();
        }
        boolean lapsed = scheduler.nanoTime() - observedSinceNanos
                >= TERM.plus(SAFETY_MARGIN).toNanos();
        return lapsed || session(object).isEmpty() || isOwn(object);
    }

    private void acquire(long expectedVersion) {
        long sentNanos = scheduler.nanoTime();
        store.put(KIND, name, expectedVersion, changeId(), spec(session), TIMEOUT, reply -> {
            if (reply instanceof StoreReply.Written written) {
                version = written.version();
                lease = new Lease(name, written.version(), validUntil(sentNanos));
                PlatformEvent.LEASE_ACQUIRED.log(LOG, name, written.version());
                scheduleStep(RENEWAL_INTERVAL);
            } else {
                scheduleStep(reply instanceof StoreReply.Conflict ? POLL_INTERVAL : RETRY_DELAY);
            }
        });
    }

    private void dropLease(String reason) {
        Lease before = lease;
        lease = null;
        if (before != null) {
            PlatformEvent.LEASE_LAPSED.log(LOG, name, before.fencingNumber(), reason);
        }
    }

    private void scheduleStep(Duration delay) {
        long jitter = delay.isZero() ? 0 : random.nextLong(Math.max(1, delay.toMillis() / 4));
        scheduler.schedule(delay.minusMillis(jitter), this::step);
    }

    private boolean isOwn(@Nullable StoredObject object) {
        return object != null && session(object).equals(session);
    }

    /** Returns the session id of the holder, empty if the lease was released. */
    private static String session(StoredObject object) {
        try {
            JsonNode spec = JsonSupport.parse(String.valueOf(object.spec()));
            return spec.path("session").asText("");
        } catch (JsonProcessingException e) {
            return "malformed";
        }
    }

    private String spec(String newSession) {
        return JsonSupport.write(JsonSupport.object()
                .put("holder", newSession.isEmpty() ? "" : holder)
                .put("session", newSession)
                .put("termMillis", TERM.toMillis()));
    }

    private String changeId() {
        return session + ':' + Long.toHexString(random.nextLong());
    }

    private static long validUntil(long sentNanos) {
        return sentNanos + TERM.minus(SAFETY_MARGIN).toNanos();
    }
}
