package io.masticfold.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpServer;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.gate.AgentGate;
import io.masticfold.core.gate.AgentGateSettings;
import io.masticfold.core.limit.QuotaCoordinator;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import io.masticfold.platform.http.EventloopScheduler;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.settings.AgentSettings;
import io.masticfold.wire.AgentState;
import io.masticfold.wire.PeerRole;
import io.masticfold.wire.SharedSecret;
import io.masticfold.wire.WireEnvironment;
import io.masticfold.wire.WireIdentity;
import io.masticfold.wire.WireServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Agent process of a single target. It receives attempts from entries, applies admission control and calls the target.
 * It receives its configuration from entries only.
 */
public final class AgentDaemon {

    private static final Logger LOGGER = LoggerFactory.getLogger(AgentDaemon.class);
    private static final int WIRE_THREADS = 2;
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(10);

    private final AgentSettings settings;
    private final Incarnation incarnation;
    private final ConfigReplica config = new ConfigReplica();
    private final AgentMetrics metrics = new AgentMetrics();
    private final AgentEventLoop loop;
    private final Scheduler scheduler;
    private final HttpTargetClient client;
    private final AgentGate gate;
    private final LoadPoller poller;
    private final WireServer server;
    private final AtomicReference<AgentPhase> phase = new AtomicReference<>(AgentPhase.STARTING);
    private volatile @Nullable HttpServer admin;

    /** Creates an agent without starting it; it opens no connections and listens on no address yet. */
    public AgentDaemon(AgentSettings settings) {
        TimeSource time = TimeSource.system();
        this.settings = settings;
        this.incarnation = Incarnation.start(time, new SecureRandom());
        this.loop = new AgentEventLoop("agent-" + settings.target());
        this.scheduler = new EventloopScheduler(loop.eventloop(), time);
        this.client = new HttpTargetClient(loop.eventloop(), settings.target(), settings.targetAddress(), time);
        this.gate =
                new AgentGate(AgentGateSettings.of(settings.target(), incarnation), config, client, scheduler, metrics);
        this.poller =
                new LoadPoller(loop.eventloop(), settings.target(), settings.targetAddress(), metrics, gate::report);
        this.server = new WireServer(environment(time), settings.listen(), gate, new HeartbeatState(), WIRE_THREADS);
        registerMetrics();
    }

    /** State of the agent that heartbeats report to entries. */
    private final class HeartbeatState implements AgentState {

        @Override
        public TargetLoad load() {
            return gate.load();
        }

        @Override
        public boolean leaving() {
            return phase.get().leaving();
        }
    }

    private WireEnvironment environment(TimeSource time) {
        return new WireEnvironment(
                new WireIdentity(settings.name(), settings.zone(), PeerRole.AGENT, incarnation),
                SharedSecret.ofUtf8(settings.sharedSecret()),
                config,
                new JsonSpecCodec(),
                new AgentQuotaExchange(new QuotaCoordinator(time)),
                time,
                metrics);
    }

    private void registerMetrics() {
        metrics.registerLoadGauges(gate::load);
        metrics.registerGauge("config_revision", "configuration revision in force", () -> config.snapshot()
                .revision());
        metrics.registerGauge("entries", "entries connected", server::connectedEntries);
    }

    /**
     * Starts the agent and accepts attempts.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        loop.start();
        try {
            loop.runAndWait(this::startOnLoop);
        } catch (ExecutionException e) {
            loop.stop();
            throw new IOException("cannot start the admin server on " + settings.admin(), e);
        }
        phase.set(AgentPhase.SERVING);
        try {
            server.start();
        } catch (IOException e) {
            shutDown();
            throw e;
        }
        AgentEvent.STARTED.log(
                LOGGER, settings.name(), settings.target(), incarnation, listenAddress(), adminAddress());
    }

    private void startOnLoop() throws IOException {
        HttpServer created = HttpServer.builder(
                        loop.eventloop(),
                        AgentAdminServlet.create(loop.eventloop(), this::ready, metrics::scrape, this::status))
                .withListenAddress(settings.admin())
                .build();
        created.listen();
        admin = created;
        poller.start();
    }

    /**
     * Shuts down gracefully: refuses new attempts, announces the shutdown to entries, waits for attempts in progress up
     * to the configured drain timeout and then closes all connections.
     */
    public void stop() {
        if (!phase.compareAndSet(AgentPhase.SERVING, AgentPhase.LEAVING)) {
            return;
        }
        AgentEvent.SHUTTING_DOWN.log(LOGGER, settings.name(), gate.inFlight());
        gate.startLeaving();
        server.sendHeartbeats();
        awaitDrained();
        shutDown();
        AgentEvent.STOPPED.log(LOGGER, settings.name());
    }

    private void shutDown() {
        phase.set(AgentPhase.STOPPED);
        server.stop();
        try {
            loop.runAndWait(this::stopOnLoop);
        } catch (ExecutionException e) {
            AgentEvent.EVENT_LOOP_TASK_FAILED.log(LOGGER, "stop", e);
        }
        loop.stop();
    }

    private void stopOnLoop() {
        poller.stop();
        client.stop();
        HttpServer current = admin;
        if (current != null) {
            current.close();
        }
    }

    private void awaitDrained() {
        CountDownLatch drained = new CountDownLatch(1);
        Cancellable check = scheduleDrainCheck(drained);
        try {
            if (drained.await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
                AgentEvent.DRAINED.log(LOGGER, settings.name());
            } else {
                AgentEvent.DRAIN_TIMED_OUT.log(LOGGER, settings.name(), settings.drainMillis(), gate.inFlight());
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
        check.cancel();
    }

    private Cancellable scheduleDrainCheck(CountDownLatch drained) {
        return scheduler.schedule(DRAIN_CHECK_INTERVAL, () -> {
            if (drained()) {
                drained.countDown();
            } else {
                scheduleDrainCheck(drained);
            }
        });
    }

    /** Returns whether no attempt is running or queued and all outcomes have been handed to their connections. */
    private boolean drained() {
        TargetLoad load = gate.load();
        return load.inFlight() == 0 && load.queued() == 0 && server.openAttempts() == 0;
    }

    /** Returns whether the agent accepts new attempts: it is serving and its target is configured. */
    private boolean ready() {
        return phase.get().ready()
                && config.snapshot().target(settings.target()).isPresent();
    }

    /** Returns the address that the agent listens on for entries. */
    public InetSocketAddress listenAddress() {
        return server.address();
    }

    /** Returns the address of the admin interface. */
    public InetSocketAddress adminAddress() {
        HttpServer current = admin;
        if (current == null) {
            throw new IllegalStateException("agent " + settings.name() + " has not been started");
        }
        return current.getBoundAddresses().get(0);
    }

    /** Returns the incarnation of this agent process. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** Returns the replica of the active configuration. */
    public ConfigReplica config() {
        return config;
    }

    /** Returns the current load of the target, as tracked by the admission gate. */
    public TargetLoad load() {
        return gate.load();
    }

    private JsonNode status() {
        ConfigSnapshot snapshot = config.snapshot();
        TargetLoad load = gate.load();
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("name", settings.name())
                .put("incarnation", incarnation.toString())
                .put("zone", settings.zone())
                .put("region", settings.region())
                .put("target", settings.target())
                .put("phase", phase.get().name().toLowerCase(Locale.ROOT))
                .put("configRevision", snapshot.revision())
                .put("configDigest", Long.toHexString(snapshot.digest()));
        status.putObject("load")
                .put("temperature", load.temperature().name().toLowerCase(Locale.ROOT))
                .put("inFlight", load.inFlight())
                .put("queued", load.queued())
                .put("limit", load.limit())
                .put("serviceMicros", load.serviceMicros());
        server.status().forEach(link -> status.withArray("entries")
                .addObject()
                .put("name", link.target())
                .put("usable", link.usable())
                .put("incarnation", String.valueOf(link.incarnation()))
                .put("configRevision", link.peerRevision())
                .put("configDigest", Long.toHexString(link.peerDigest()))
                .put("openAttempts", link.openAttempts()));
        return status;
    }
}
