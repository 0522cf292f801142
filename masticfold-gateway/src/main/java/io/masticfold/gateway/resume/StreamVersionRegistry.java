package io.masticfold.gateway.resume;

import io.masticfold.core.directory.TargetDirectory;
import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.resume.ResumptionPolicy;
import io.masticfold.core.resume.StreamOrigin;
import io.masticfold.core.resume.StreamOriginTable;
import io.masticfold.core.resume.VersionHistory;
import io.masticfold.core.resume.VersionRequirement;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimerGrid;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.StreamVersions;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.StreamRecord;
import io.masticfold.gateway.store.PlatformView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Knows which software version began each stream that a caller may take up. While one version alone serves a pool,
 * nothing is kept for single streams; while several may have begun the streams of a pool, their origins go to the
 * peers and, in groups, to the store. Not thread-safe.
 */
public final class StreamVersionRegistry {

    /** Interval at which versions are looked at and origins are sent to the peers. */
    private static final Duration SHARE_INTERVAL = Duration.ofMillis(50);

    /** Mean time between the writes of all gateways together, each of which writes only after new streams. */
    private static final Duration WRITE_SPACING = Duration.ofMillis(20);

    /** Additional delay before a write that the store has not accepted is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Time after which an unchanged record is written again, since the store may have been restored from a copy. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);

    /** Time after which a version begins streams although the store has not accepted the record of it. */
    private static final Duration MAX_RECORD_DELAY = Duration.ofSeconds(1);

    /** Largest number of streams in the record of one gateway. */
    private static final int MAX_RECORDED_STREAMS = 2000;

    /** Window while no route is known whose streams can be taken up. */
    private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(30);

    /** Tries of a caller, which end with its deadline, may follow one another for longer than one timeout. */
    private static final int WINDOW_TIMEOUTS = 2;

    private final Scheduler scheduler;
    private final PlatformView view;
    private final RateLimitedLog log;
    private final Telemetry telemetry;
    private final StreamRecordStore store;
    private final VersionHistory history;
    private final StreamOriginTable origins;
    private final RecordConfirmation confirmation;
    private final List<StreamOrigin> unsent = new ArrayList<>();
    private final Map<String, Set<String>> recorded = new HashMap<>();
    private final Map<String, Long> firstSeenNanos = new HashMap<>();
    private TargetDirectory observed = TargetDirectory.EMPTY;
    private Map<String, Set<String>> serving = Map.of();
    private @Nullable PeerLinks links;
    private long startedNanos;
    private boolean complete;
    private boolean unwritten = true;
    private boolean writing;
    private long nextWriteNanos;
    private long writtenNanos;

    /** Creates a registry that knows no streams. */
    public StreamVersionRegistry(
            Scheduler scheduler, PlatformView view, RateLimitedLog log, Telemetry telemetry, StreamRecordStore store) {
        this.scheduler = scheduler;
        this.view = view;
        this.log = log;
        this.telemetry = telemetry;
        this.store = store;
        this.history = new VersionHistory(scheduler);
        this.origins = new StreamOriginTable(scheduler);
        this.confirmation = new RecordConfirmation(
                scheduler, (onComplete, onFailure) -> store.readOnce(this::merge, onComplete, onFailure));
    }

    /** Reads the records of all gateways and starts to share what is known. */
    public void start(PeerLinks peerLinks) {
        links = peerLinks;
        startedNanos = scheduler.nanoTime();
        nextWriteNanos = startedNanos;
        writtenNanos = startedNanos;
        store.read(this::merge, () -> complete = true);
        shareRepeatedly();
    }

    private Duration window() {
        ForwardConfig config = view.config();
        Duration timeout = config == null ? Duration.ZERO : config.longestResumableTimeout();
        return timeout.isZero() ? DEFAULT_WINDOW : timeout.multipliedBy(WINDOW_TIMEOUTS);
    }

    /**
     * Returns the version at which a stream must go on that its caller takes up.
     *
     * @param attempt id of the attempt that brought its first event; empty if the caller names none
     * @param confirmed whether the records were read again after the caller asked
     */
    public VersionRequirement requirement(String pool, String attempt, boolean confirmed) {
        observe();
        return ResumptionPolicy.require(origins.find(attempt), pool, history, knowsAllVersions(confirmed));
    }

    /**
     * Returns whether the records must be read again before it can be said where a stream began: a gateway that is not
     * connected to this one may have begun it, and its record says at which version.
     *
     * @param attempt id of the attempt that brought its first event
     */
    public boolean mustConfirm(String attempt) {
        observe();
        return origins.find(attempt).isEmpty() && !hearsAllGateways();
    }

    /** Reads the records of all gateways again; the receiver is told once whether the store has answered in time. */
    public void confirm(Consumer<Boolean> receiver) {
        confirmation.request(receiver);
    }

    private boolean hearsAllGateways() {
        PeerLinks peers = links;
        return peers != null
                && view.gateways().stream()
                        .map(GatewayAddress::name)
                        .allMatch(name -> name.equals(store.node()) || peers.reachable(name));
    }

    /** Returns the pool in which a stream began; empty if it is not known. */
    public Optional<String> pool(String attempt) {
        return origins.find(attempt).map(StreamOrigin::pool);
    }

    /** Returns whether the record of a target's version is where every gateway finds it after a restart. */
    public boolean mayBeginStreams(TargetRecord target) {
        observe();
        return recorded.getOrDefault(target.pool(), Set.of()).contains(target.softwareVersion())
                || scheduler.nanoTime() - firstSeenNanos.getOrDefault(key(target.pool(), target.softwareVersion()), 0L)
                        > MAX_RECORD_DELAY.toNanos();
    }

    private static String key(String pool, String version) {
        return pool + '/' + version;
    }

    private boolean knowsAllVersions(boolean confirmed) {
        boolean served = scheduler.nanoTime() - startedNanos > window().toNanos();
        return confirmed || (hearsAllGateways() && (complete || served));
    }

    /** Records that a target has written the first event of a stream. */
    public void recordBegun(String attempt, TargetRecord target) {
        StreamOrigin origin = new StreamOrigin(attempt, target.pool(), target.softwareVersion(), scheduler.nanoTime());
        if (origins.add(origin) && history.mixed(target.pool())) {
            unsent.add(origin);
        }
    }

    private void observe() {
        if (view.directory() != observed) {
            observed = view.directory();
            serving = observed.softwareVersions();
        }
        serving.forEach((pool, versions) -> add(pool, versions, ""));
    }

    private void add(String pool, Set<String> versions, String source) {
        boolean mixedBefore = history.mixed(pool);
        Set<String> before = history.versions(pool);
        if (!history.record(pool, versions)) {
            return;
        }
        unwritten = true;
        versions.stream().filter(version -> !before.contains(version)).forEach(version -> {
            firstSeenNanos.put(key(pool, version), scheduler.nanoTime());
            telemetry.count("software_version_seen");
            log.important(GatewayEvent.SOFTWARE_VERSION_SEEN)
                    .addKeyValue("pool", pool)
                    .addKeyValue("version", version)
                    .addKeyValue("source", source)
                    .log();
        });
        if (history.mixed(pool) && !mixedBefore) {
            unsent.addAll(origins.of(pool));
        }
        if (source.isEmpty()) {
            broadcast(StreamVersionCodec.encode(scheduler, Map.of(pool, history.versions(pool)), List.of()));
        }
    }

    private void shareRepeatedly() {
        observe();
        Duration window = window();
        origins.expire(window);
        if (history.expire(window)) {
            unwritten = true;
        }
        if (!unsent.isEmpty()) {
            broadcast(StreamVersionCodec.encode(scheduler, Map.of(), unsent));
            unsent.clear();
            unwritten = true;
        }
        writeIfDue();
        scheduler.schedule(TimerGrid.delay(scheduler, SHARE_INTERVAL), this::shareRepeatedly);
    }

    private void writeIfDue() {
        unwritten |= scheduler.nanoTime() - writtenNanos > REFRESH_INTERVAL.toNanos();
        // The records of the time before the start are read before this gateway's own is replaced.
        if (!unwritten || writing || !complete || scheduler.nanoTime() - nextWriteNanos < 0) {
            return;
        }
        unwritten = false;
        writing = true;
        Map<String, Set<String>> versions = history.versions();
        store.write(new StreamRecord(versions, streamsOfMixedPools()), written -> {
            writing = false;
            Duration spacing = WRITE_SPACING.multipliedBy(view.sharingGateways());
            nextWriteNanos = scheduler.nanoTime() + (written ? spacing : spacing.plus(RETRY_DELAY)).toNanos();
            if (written) {
                recorded.clear();
                recorded.putAll(versions);
                writtenNanos = scheduler.nanoTime();
            } else {
                unwritten = true;
            }
        });
    }

    private List<StreamRecord.Stream> streamsOfMixedPools() {
        List<StreamRecord.Stream> streams = history.versions().keySet().stream()
                .filter(history::mixed)
                .flatMap(pool -> origins.of(pool).stream())
                .map(origin -> new StreamRecord.Stream(origin.attempt(), origin.pool(), origin.version()))
                .toList();
        return streams.subList(Math.max(0, streams.size() - MAX_RECORDED_STREAMS), streams.size());
    }

    /** Merges the record that a gateway left in the store. */
    private void merge(StreamRecord record) {
        record.versionsByPool().forEach((pool, versions) -> {
            add(pool, versions, "store");
            recorded.computeIfAbsent(pool, _key -> new HashSet<>()).addAll(versions);
        });
        record.streams()
                .forEach(stream -> origins.add(
                        new StreamOrigin(stream.attempt(), stream.pool(), stream.version(), scheduler.nanoTime())));
    }

    /** Merges what a peer has learnt. */
    public void handle(String peer, StreamVersions message) {
        message.getPoolsList().forEach(pool -> add(pool.getPool(), Set.copyOf(pool.getVersionsList()), peer));
        StreamVersionCodec.decodeStreams(scheduler, message).forEach(origins::add);
        complete |= message.getComplete();
    }

    /** Tells a new peer everything that it needs. */
    public void greet(PeerCaller caller) {
        observe();
        List<StreamOrigin> streams = history.versions().keySet().stream()
                .filter(history::mixed)
                .flatMap(pool -> origins.of(pool).stream())
                .toList();
        caller.send(frame(StreamVersionCodec.encode(scheduler, history.versions(), streams)
                .setComplete(complete)));
    }

    private void broadcast(StreamVersions.Builder message) {
        PeerLinks peers = links;
        if (peers != null) {
            peers.broadcast(frame(message));
        }
    }

    private static PeerFrame frame(StreamVersions.Builder message) {
        return PeerFrame.newBuilder().setStreamVersions(message).build();
    }
}
