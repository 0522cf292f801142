package io.masticfold.entry;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.limit.ContractAdmission;
import io.masticfold.core.limit.QuotaClient;
import io.masticfold.core.limit.RequestAdmission;
import io.masticfold.core.membership.WatchElection;
import io.masticfold.core.membership.WatchElectionSettings;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.pipeline.PipelineRunner;
import io.masticfold.core.pipeline.PipelineService;
import io.masticfold.core.pipeline.PipelineSettings;
import io.masticfold.core.retry.RetryBudgetSettings;
import io.masticfold.core.retry.TokenBucketRetryBudget;
import io.masticfold.core.routing.DefaultRouter;
import io.masticfold.core.routing.Router;
import io.masticfold.core.routing.RouterSettings;
import io.masticfold.core.shed.PoolAttemptListener;
import io.masticfold.core.shed.ShedSettings;
import io.masticfold.core.shed.SheddingAdmission;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import io.masticfold.entry.http.AdminServlet;
import io.masticfold.entry.http.Attainment;
import io.masticfold.entry.http.EntryLifecycle;
import io.masticfold.entry.http.HttpServers;
import io.masticfold.entry.http.PipelineServlet;
import io.masticfold.platform.http.EventloopScheduler;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.metrics.MicrometerTelemetry;
import io.masticfold.platform.settings.EntrySettings;
import io.masticfold.platform.store.ClaimJanitor;
import io.masticfold.platform.store.ConfigSource;
import io.masticfold.platform.store.ConfigWatcher;
import io.masticfold.platform.store.HttpObjectStore;
import io.masticfold.platform.store.LeaseClient;
import io.masticfold.platform.store.ObjectClaimStore;
import io.masticfold.platform.store.StoreLimits;
import io.masticfold.wire.LinkStatus;
import io.masticfold.wire.PeerRole;
import io.masticfold.wire.PermitHandler;
import io.masticfold.wire.SharedSecret;
import io.masticfold.wire.WireClient;
import io.masticfold.wire.WireEnvironment;
import io.masticfold.wire.WireIdentity;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entry process. It serves callers over HTTP, maintains links to the agents and watches the object API for
 * configuration changes.
 */
public final class EntryDaemon {

    private static final Logger LOGGER = LoggerFactory.getLogger(EntryDaemon.class);
    private static final int LINK_THREADS = 2;
    private static final String JANITOR_LEASE = "claim-janitor";
    private static final Duration STOP_MARGIN = Duration.ofSeconds(2);
    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(10);

    private final EntrySettings settings;
    private final EntryOptions options;
    private final TimeSource time = TimeSource.system();
    private final RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
    private final Incarnation incarnation = Incarnation.start(time, new SecureRandom());
    private final ConfigReplica config = new ConfigReplica();
    private final EntryLifecycle lifecycle = new EntryLifecycle();
    private final Attainment attainment = new Attainment();
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Telemetry telemetry = new MicrometerTelemetry(metrics);
    private final QuotaClient quotaClient = new QuotaClient(time);
    private final EntryQuotaExchange quota = new EntryQuotaExchange(quotaClient);
    private final HttpObjectStore store;
    private final ConfigWatcher configWatcher;
    private final LeaseClient janitorLease;
    private final ClaimJanitor janitor;
    private final WireClient links;
    private final HttpServers servers;

    /**
     * Creates an entry with the default policies, without starting it.
     *
     * @param settings settings of the process
     */
    public EntryDaemon(EntrySettings settings) {
        this(settings, EntryOptions.DEFAULT);
    }

    /**
     * Creates an entry with the given policies, without starting it. Benchmarks use it to compare policies.
     *
     * @param settings settings of the process
     * @param options policies of routing and load shedding
     */
    public EntryDaemon(EntrySettings settings, EntryOptions options) {
        this.settings = settings;
        this.options = options;
        JsonSpecCodec codec = new JsonSpecCodec();
        this.store = new HttpObjectStore(settings.objectApi(), StoreLimits.DEFAULT, telemetry, random);
        this.configWatcher = configWatcher(new ConfigSource(store, codec, config, store.scheduler(), random));
        this.janitorLease = lease(JANITOR_LEASE);
        this.janitor = new ClaimJanitor(store, janitorLease, store.scheduler(), telemetry);
        WireIdentity identity = new WireIdentity(settings.name(), settings.zone(), PeerRole.ENTRY, incarnation);
        SharedSecret secret = SharedSecret.ofUtf8(settings.sharedSecret());
        WireEnvironment environment = new WireEnvironment(identity, secret, config, codec, quota, time, telemetry);
        this.links = new WireClient(environment, PermitHandler.DENY_ALL, random, LINK_THREADS);
        this.servers = new HttpServers(settings.name(), settings.maxConnections());
    }

    /**
     * Starts the entry, which becomes ready once it has received a configuration.
     *
     * @throws MasticfoldException if an address cannot be bound
     */
    public void start() throws MasticfoldException {
        store.start();
        links.start();
        configWatcher.start();
        janitorLease.start();
        janitor.start();
        quota.start(store.scheduler());
        config.addListener(
                snapshot -> EntryEvent.CONFIGURATION_APPLIED.log(LOGGER, settings.name(), snapshot.revision()));
        startServers();
        EntryEvent.STARTED.log(LOGGER, settings.name(), settings.listen(), settings.admin());
    }

    private ConfigWatcher configWatcher(ConfigSource source) {
        WatchElection election =
                new WatchElection(WatchElectionSettings.DEFAULT, settings.name(), random, time.nanoTime());
        return new ConfigWatcher(
                source,
                config,
                store.scheduler(),
                slot -> lease(ConfigWatcher.leaseName(settings.region(), slot)),
                election);
    }

    private LeaseClient lease(String name) {
        return new LeaseClient(store, store.scheduler(), random, name, settings.name());
    }

    private void startServers() throws MasticfoldException {
        SheddingAdmission shedding =
                new SheddingAdmission(new ContractAdmission(time, quotaClient), ShedSettings.DEFAULT, time, random);
        RequestAdmission admission = options.sheddingEnabled() ? shedding : new ContractAdmission(time, quotaClient);
        PipelineService service = service(shedding);
        Map<Eventloop, AsyncServlet> workers = new LinkedHashMap<>();
        for (int i = 0; i < settings.threads(); i++) {
            Eventloop loop = servers.addLoop(settings.name() + "-http-" + i);
            workers.put(loop, callerServlet(loop, service, admission));
        }
        servers.start();
        EntryStatus status = new EntryStatus(settings, incarnation, config, links, lifecycle, attainment);
        AsyncServlet admin =
                AdminServlet.create(servers.acceptor(), lifecycle, this::configured, metrics::scrape, status::render);
        servers.listenForAdmin(settings.admin(), admin);
        servers.listenForCallers(settings.listen(), workers, Pipeline.MAX_BODY_BYTES);
    }

    private PipelineService service(PoolAttemptListener signals) {
        Router router = DefaultRouter.create(
                config::snapshot, links, options.routing(), RouterSettings.DEFAULT, time, random, signals);
        return new PipelineRunner(
                PipelineSettings.defaults(settings.zone()),
                router,
                links,
                new ObjectClaimStore(store),
                new AttemptIdSource(incarnation),
                new TokenBucketRetryBudget(time, RetryBudgetSettings.DEFAULT),
                telemetry,
                time);
    }

    private AsyncServlet callerServlet(Eventloop loop, PipelineService service, RequestAdmission admission) {
        PipelineServlet servlet = new PipelineServlet(
                service,
                admission,
                config::snapshot,
                lifecycle,
                attainment,
                telemetry,
                new EventloopScheduler(loop, time));
        return RoutingServlet.builder(loop)
                .with(HttpMethod.POST, "/v1/pipelines/:pipeline", servlet)
                .build();
    }

    /** Returns whether a configuration has been received. */
    public boolean configured() {
        return config.snapshot().revision() > 0;
    }

    /** Returns the active configuration. */
    public ConfigSnapshot configuration() {
        return config.snapshot();
    }

    /** Returns the status of the links to the agents. */
    public List<LinkStatus> links() {
        return links.status();
    }

    /** Returns the meter registry of the entry. */
    public MeterRegistry meters() {
        return metrics;
    }

    /**
     * Shuts down gracefully: reports not ready, still accepts requests during the drain delay, then refuses new ones,
     * waits for those in progress and closes all connections.
     */
    public void stop() throws InterruptedException {
        lifecycle.advance(EntryLifecycle.Phase.DRAINING);
        EntryEvent.DRAINING.log(LOGGER, settings.drainDelayMillis());
        TimeUnit.MILLISECONDS.sleep(settings.drainDelayMillis());
        lifecycle.advance(EntryLifecycle.Phase.REFUSING);
        EntryEvent.REFUSING.log(LOGGER, lifecycle.inProgress());
        awaitRequests();
        EntryEvent.STOPPED.log(LOGGER, settings.name(), lifecycle.inProgress());
        close();
    }

    private void awaitRequests() throws InterruptedException {
        Deadline deadline = Deadline.after(time, longestWindow().plus(STOP_MARGIN));
        while (lifecycle.inProgress() > 0 && !deadline.expired(time)) {
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL.toMillis());
        }
    }

    private Duration longestWindow() {
        return Duration.ofMillis(config.snapshot().contracts().stream()
                .mapToInt(Contract::windowMillis)
                .max()
                .orElse(0));
    }

    private void close() throws InterruptedException {
        servers.stop();
        janitor.stop();
        janitorLease.stop();
        configWatcher.stop();
        quota.stop();
        links.stop();
        store.stop();
    }
}
