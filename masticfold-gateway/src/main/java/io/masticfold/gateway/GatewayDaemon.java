package io.masticfold.gateway;

import io.masticfold.core.directory.RegistrationPolicy;
import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.retry.SlidingWindowRetryBudget;
import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.shutdown.GracefulShutdown;
import io.masticfold.core.time.PauseGuard;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerMemory;
import io.masticfold.gateway.http.EventLoopScheduler;
import io.masticfold.gateway.http.HttpClient;
import io.masticfold.gateway.http.HttpServer;
import io.masticfold.gateway.http.ShedReader;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.load.TargetLoads;
import io.masticfold.gateway.log.EventLoopMonitor;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.GatewayMetrics;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.masticfold.gateway.protocol.PlatformProtocol;
import io.masticfold.gateway.quarantine.PoisonQuarantine;
import io.masticfold.gateway.quarantine.QuarantineStore;
import io.masticfold.gateway.request.ForwardHandler;
import io.masticfold.gateway.request.TargetAdmission;
import io.masticfold.gateway.request.TargetPools;
import io.masticfold.gateway.resume.StreamRecordStore;
import io.masticfold.gateway.resume.StreamVersionRegistry;
import io.masticfold.gateway.rollout.RolloutStore;
import io.masticfold.gateway.rollout.Rollouts;
import io.masticfold.gateway.settings.GatewaySettings;
import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.store.GatewayRegistration;
import io.masticfold.gateway.store.ObjectStoreClient;
import io.masticfold.gateway.store.PauseRecovery;
import io.masticfold.gateway.store.PeerStateExchange;
import io.masticfold.gateway.store.PlatformView;
import io.masticfold.gateway.store.PlatformWatcher;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Runs one gateway. Connections to callers, targets, peers and the store share one event loop. */
public final class GatewayDaemon {

    /** Interval at which expired idle connections are closed and callers that do not read are looked for. */
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(500);

    private final AtomicReference<GatewaySettings> settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final PlatformView view = new PlatformView();
    private final Scheduler scheduler;
    private final MemoryAccount account;
    private final HttpClient client;
    private final RateLimitedLog log;
    private final GatewayRegistration registration;
    private final PlatformWatcher platformWatcher;
    private final PauseRecovery pauseRecovery;
    private final PeerStateExchange peerStateExchange;
    private final PoisonQuarantine quarantine;
    private final StreamVersionRegistry versions;
    private final TargetRateLimits limits;
    private final TargetLoads loads;
    private final Rollouts rollouts;
    private final QuarantineStore quarantineStore;
    private final StageDispatcher stageDispatcher;
    private final StageAdmissionQueue admissionQueue;
    private final TargetAdmission targetAdmission;
    private final ForwardHandler forwardHandler;
    private final StopSequence stopSequence;
    private final PeerLinks peers;
    private final HttpServer front;
    private final HttpServer readiness;
    private final HttpServer metrics;
    private volatile boolean stopping;
    private boolean readyLogged;

    /**
     * Creates a gateway.
     *
     * @param telemetry counters and timers of the metrics page
     */
    public GatewayDaemon(GatewaySettings settings, PlatformProtocol protocol, GatewayMetrics telemetry) {
        this.settings = new AtomicReference<>(settings);
        TimeSource time = TimeSource.system();
        EventLoop loop = group.next();
        this.scheduler = new EventLoopScheduler(loop, time);
        this.account = CallerMemory.accountOfProcess();
        this.client = new HttpClient(group, time, account);
        this.log = new RateLimitedLog(time, telemetry);
        ObjectStoreClient store = new ObjectStoreClient(client, scheduler, settings.store());
        GatewayAddress address =
                new GatewayAddress(settings.node(), settings.zone(), settings.peer(), RegistrationPolicy.NO_GENERATION);
        this.registration = new GatewayRegistration(store, protocol.store(), scheduler, log, address);
        this.platformWatcher = new PlatformWatcher(
                store,
                protocol.store(),
                scheduler,
                view,
                log,
                registration,
                settings.rollout().map(_limits -> this::handleOrders));
        PauseGuard pauseGuard = new PauseGuard(scheduler, PauseRecovery.MAX_DELAY);
        EventLoopMonitor loopMonitor = new EventLoopMonitor(scheduler, telemetry);
        this.pauseRecovery = new PauseRecovery(pauseGuard, platformWatcher, scheduler, loopMonitor, log);
        GatewayContext context = new GatewayContext(
                this.settings,
                protocol,
                client,
                scheduler,
                pauseGuard,
                view,
                log,
                telemetry,
                platformWatcher::targetLeaving);
        this.peerStateExchange = new PeerStateExchange(platformWatcher, scheduler, log);
        this.quarantine = new PoisonQuarantine(scheduler, log, telemetry);
        this.versions = new StreamVersionRegistry(
                scheduler,
                view,
                log,
                telemetry,
                new StreamRecordStore(store, protocol.store(), scheduler, log, settings.node()));
        this.limits = new TargetRateLimits(scheduler, view, log, telemetry, settings.node());
        this.loads = new TargetLoads(scheduler, view, telemetry);
        this.rollouts = new Rollouts(
                scheduler,
                view,
                log,
                telemetry,
                settings.node(),
                () -> this.settings.get().rollout(),
                new RolloutStore(store, protocol.store()),
                loads,
                pauseGuard,
                platformWatcher::ordersComplete);
        this.quarantineStore = new QuarantineStore(store, protocol.store(), scheduler, log);
        this.stageDispatcher = new StageDispatcher(context, _name -> retryBudget());
        this.admissionQueue = new StageAdmissionQueue(context);
        this.peers = new PeerLinks(
                group,
                scheduler,
                settings.node(),
                view::gateways,
                settings.seeds(),
                new PeerDispatcher(
                        stageDispatcher,
                        peerStateExchange,
                        platformWatcher,
                        quarantine,
                        versions,
                        limits,
                        loads,
                        rollouts,
                        log));
        GracefulShutdown shutdown = new GracefulShutdown(scheduler);
        TargetPools targetPools = new TargetPools(context, limits, loads, _name -> retryBudget());
        this.targetAdmission = new TargetAdmission(context, targetPools, loopMonitor::delay);
        this.forwardHandler = new ForwardHandler(
                context,
                stageDispatcher,
                admissionQueue,
                targetPools,
                quarantine,
                versions,
                limits,
                rollouts,
                shutdown,
                targetAdmission);
        this.front = new HttpServer(
                group,
                time,
                client.readShares(),
                view::requestLimits,
                forwardHandler,
                reason -> {
                    telemetry.count("bad_request_" + reason.code());
                    log.important(GatewayEvent.BAD_REQUEST)
                            .addKeyValue("reason", reason.code())
                            .log();
                },
                new CallerMemory(account, reader -> recordShed(reader, telemetry)));
        this.stopSequence = new StopSequence(
                scheduler,
                shutdown,
                front,
                forwardHandler,
                () -> {
                    admissionQueue.refuseAll();
                    stageDispatcher.drain();
                },
                stopped::countDown,
                log);
        this.readiness = new HttpServer(
                group,
                time,
                client.readShares(),
                () -> RequestLimits.DEFAULT,
                new ReadinessHandler(protocol.readinessPath(), this::ready),
                _reason -> telemetry.count("bad_probe"));
        this.metrics = metricsServer(time, telemetry);
    }

    private HttpServer metricsServer(TimeSource time, GatewayMetrics meters) {
        new GatewayGauges(
                        view,
                        peers,
                        quarantine,
                        limits,
                        loads,
                        rollouts,
                        platformWatcher,
                        admissionQueue,
                        targetAdmission,
                        front,
                        client,
                        account)
                .register(meters);
        return new HttpServer(
                group,
                time,
                client.readShares(),
                () -> RequestLimits.DEFAULT,
                new MetricsHandler(meters::page),
                _reason -> meters.count("bad_metrics_request"));
    }

    private void recordShed(ShedReader reader, GatewayMetrics telemetry) {
        telemetry.count("reader_shed");
        log.important(GatewayEvent.READER_SHED)
                .addKeyValue("address", reader.address())
                .addKeyValue("workspace", reader.workspace())
                .addKeyValue("unsentBytes", reader.unsentBytes())
                .addKeyValue("stalledMillis", reader.stalled().toMillis())
                .addKeyValue("heldBytes", account.inUseBytes())
                .addKeyValue("limitBytes", account.limitBytes())
                .log();
    }

    private void handleOrders(List<RolloutOrder> orders) {
        rollouts.handleOrders(orders);
    }

    private RetryBudget retryBudget() {
        return new SlidingWindowRetryBudget(
                scheduler,
                settings.get().retryWindow(),
                settings.get().retryRatio(),
                () -> settings.get().retryExtra() / view.sharingGateways());
    }

    /**
     * Opens the listening sockets and starts watching the store.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void start() throws InterruptedException {
        GatewaySettings started = settings.get();
        readiness.start(started.readiness());
        if (started.metricsPort() > 0) {
            metrics.start(new InetSocketAddress(started.listen().getAddress(), started.metricsPort()));
        }
        front.start(settings.get().listen());
        peers.start(settings.get().peer());
        EventLoop loop = group.next();
        loop.execute(() -> {
            platformWatcher.start();
            pauseRecovery.start();
            stageDispatcher.start(peers, status -> {
                platformWatcher.addTo(status);
                loads.addTo(status);
            });
            platformWatcher.shareReads(peers::reachable);
            peerStateExchange.start(peers);
            quarantine.start(peers, quarantineStore);
            versions.start(peers);
            limits.start(peers);
            rollouts.start(peers);
            registration.register();
            closeExpiredConnections();
            log.important(GatewayEvent.STARTED)
                    .addKeyValue("node", settings.get().node())
                    .addKeyValue("zone", settings.get().zone())
                    .log();
        });
    }

    private void closeExpiredConnections() {
        client.closeExpired();
        front.shedSlowReaders();
        scheduler.schedule(IDLE_CHECK_INTERVAL, this::closeExpiredConnections);
    }

    /**
     * Activates changed settings. A change of names or addresses takes effect only after a restart and is logged.
     *
     * @param next changed settings
     */
    public void reload(GatewaySettings next) {
        GatewaySettings before = settings.getAndSet(next);
        boolean restartNeeded = !before.canReloadTo(next);
        log.important(GatewayEvent.SETTINGS_RELOADED)
                .addKeyValue("restartNeeded", restartNeeded)
                .log();
    }

    /** Logs that changed settings were rejected. */
    public void reloadFailed(String problem) {
        log.important(GatewayEvent.SETTINGS_REJECTED)
                .addKeyValue("problem", problem)
                .log();
    }

    /** Returns whether this gateway accepts new connections, as reported by the readiness probe. */
    public boolean ready() {
        boolean ready = !stopping && platformWatcher.complete();
        if (ready && !readyLogged) {
            readyLogged = true;
            log.important(GatewayEvent.READY).log();
        }
        return ready;
    }

    /** Starts a graceful stop: refuses new connections, then exits once every request has been answered. */
    public void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        group.next().execute(() -> {
            registration.stop();
            stopSequence.begin(settings.get().grace());
        });
    }

    /**
     * Waits until every request has been answered after {@link #stop}.
     *
     * @throws InterruptedException if interrupted while waiting
     */
    public void awaitStopped() throws InterruptedException {
        stopped.await();
    }

    /** Returns the number of reachable peers. */
    public int reachablePeers() {
        return peers.reachable().size();
    }

    /** Stops immediately, without waiting for open requests. */
    public void close() {
        stopping = true;
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Returns the active settings. */
    public GatewaySettings settings() {
        return settings.get();
    }
}
