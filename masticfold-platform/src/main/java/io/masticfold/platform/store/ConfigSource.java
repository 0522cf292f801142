package io.masticfold.platform.store;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.time.Scheduler;
import io.masticfold.platform.event.PlatformEvent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration replica in sync with the object API. It lists all configuration kinds and then watches them
 * with a single request, so that the revision covers every change up to it; writes of claims do not complete a watch.
 * An outage, a slow response, a compaction or a revision that goes backwards does not change the active configuration.
 * At most one request is in progress at any time.
 */
public final class ConfigSource {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigSource.class);

    /**
     * Each response confirms the configuration to all processes, which must detect missing watchers within a few
     * seconds. Only a few entries of a region watch, so one request per second from each is a small load.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    /** A configuration must become active within 3 s, so the retry delay after an outage stays well below that. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private static final List<String> KINDS =
            Arrays.stream(ObjectKind.values()).map(ObjectKind::code).toList();

    private final ObjectStore store;
    private final ObjectDecoder decoder;
    private final ConfigReplica replica;
    private final Scheduler scheduler;
    private final Backoff backoff;
    private final AtomicBoolean running = new AtomicBoolean();
    private final AtomicBoolean watching = new AtomicBoolean(true);
    private final AtomicBoolean paused = new AtomicBoolean();
    private volatile boolean loaded;
    private volatile boolean reachable;
    private long revision;

    /**
     * Creates a configuration source.
     *
     * @param store the object API
     * @param codec codec for the specifications
     * @param replica replica to keep in sync
     * @param scheduler schedules retries
     * @param random source of the retry jitter, which spreads out the retries of several processes
     */
    public ConfigSource(
            ObjectStore store, SpecCodec codec, ConfigReplica replica, Scheduler scheduler, RandomGenerator random) {
        this.store = store;
        this.decoder = new ObjectDecoder(codec);
        this.replica = replica;
        this.scheduler = scheduler;
        this.backoff = new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    /** Starts with a full list and then watches for changes. */
    public void start() {
        if (!running.getAndSet(true)) {
            list();
        }
    }

    /** Stops watching; the replica keeps its contents. */
    public void stop() {
        running.set(false);
    }

    /** Returns whether a full list has been loaded. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns whether the last request succeeded. */
    public boolean reachable() {
        return reachable;
    }

    /**
     * Enables or disables watching; the initial list is not affected. A watch request in progress is not cancelled when
     * watching is disabled, but ends with its timeout.
     */
    public void watching(boolean on) {
        watching.set(on);
        if (on && paused.compareAndSet(true, false)) {
            listChanges();
        }
    }

    private void list() {
        if (running.get()) {
            store.list(KINDS, 0, LIST_TIMEOUT, this::onListReply);
        }
    }

    private void watch() {
        if (!watching.get()) {
            paused.set(true);
            if (watching.get() && paused.compareAndSet(true, false)) {
                listChanges();
            }
            return;
        }
        if (running.get()) {
            store.watch(KINDS, revision, WATCH_TIMEOUT, this::onWatchReply);
        }
    }

    private void listChanges() {
        if (running.get()) {
            store.list(KINDS, revision, LIST_TIMEOUT, this::onWatchReply);
        }
    }

    private void onListReply(PageReply reply) {
        if (reply instanceof PageReply.Page page) {
            applyPage(page);
            mergeTombstonesOfMissingObjects(page);
            loaded = true;
            PlatformEvent.CONFIG_LOADED.log(LOG, page.objects().size(), page.revision());
            watch();
        } else {
            // A full list is never compacted, so this reply is treated as a failure too.
            retryLater(reply, this::list);
        }
    }

    private void onWatchReply(PageReply reply) {
        if (reply instanceof PageReply.Page page && page.revision() >= revision) {
            applyPage(page);
            watch();
        } else if (reply instanceof PageReply.Page page) {
            PlatformEvent.CONFIG_REVISION_RESET.log(LOG, revision, page.revision());
            list();
        } else if (reply instanceof PageReply.Compacted) {
            PlatformEvent.CONFIG_COMPACTED.log(LOG, revision);
            list();
        } else {
            // A list, unlike a watch, returns immediately and so shows within one round trip whether the store is back.
            retryLater(reply, this::listChanges);
        }
    }

    private void applyPage(PageReply.Page page) {
        reachable = true;
        backoff.reset();
        revision = page.revision();
        List<ConfigObject> objects = page.objects().stream()
                .map(decoder::decode)
                .flatMap(Optional::stream)
                .toList();
        replica.merge(objects);
        replica.confirm(replica.snapshot().digest(), scheduler.nanoTime());
    }

    /**
     * Merges tombstones for objects that are missing from a full list because their deletion was compacted. The
     * tombstone gets the revision of the list as its version, which is greater than every earlier version of the object
     * and less than every later one.
     */
    private void mergeTombstonesOfMissingObjects(PageReply.Page page) {
        Set<String> present = page.objects().stream().map(StoredObject::id).collect(Collectors.toSet());
        List<ConfigObject> gone = replica.snapshot().objects().stream()
                .filter(object -> !object.deleted() && object.version() < page.revision())
                .filter(object -> !present.contains(object.key().toString()))
                .map(object -> new ConfigObject(object.key(), page.revision(), "compacted", null))
                .toList();
        gone.forEach(object -> PlatformEvent.CONFIG_OBJECT_GONE.log(LOG, object.key(), page.revision()));
        replica.merge(gone);
    }

    private void retryLater(PageReply reply, Runnable next) {
        Duration delay = backoff.next();
        if (reachable || !loaded) {
            PlatformEvent.CONFIG_UNREACHABLE.log(LOG, reply, delay.toMillis());
        }
        reachable = false;
        scheduler.schedule(delay, next);
    }
}
