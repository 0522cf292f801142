package io.masticfold.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.settings.AgentSettings;
import io.masticfold.testkit.targets.TargetProfile;
import io.masticfold.testkit.targets.TargetStandIn;
import io.masticfold.wire.PeerRole;
import io.masticfold.wire.PermitHandler;
import io.masticfold.wire.QuotaExchange;
import io.masticfold.wire.SharedSecret;
import io.masticfold.wire.WireClient;
import io.masticfold.wire.WireEnvironment;
import io.masticfold.wire.WireIdentity;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Integration tests of the agent daemon, with a wire client in place of an entry and a stand-in for the target. */
final class AgentDaemonTests {

    private static final String SECRET = "a-secret-of-the-tests";
    private static final InetSocketAddress LOOPBACK_ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final Incarnation ENTRY = new Incarnation(1, 2);
    private static final long WAIT_SECONDS = 20;

    private final ConfigReplica config = new ConfigReplica();
    private TargetStandIn target;
    private AgentDaemon agent;
    private WireClient client;

    @AfterEach
    void stop() {
        client.stop();
        agent.stop();
        target.stop();
    }

    /** An attempt passes through link, admission and target, and the agent receives the configuration of the entry. */
    @Test
    void attemptRunsAndAdminEndpointsReportIt() throws Exception {
        start(0);
        StageOutcome outcome = dispatch(1).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(outcome).isInstanceOf(StageCompleted.class);
        assertThat(target.executions()).hasSize(1);
        assertThat(get("/health/live").statusCode()).isEqualTo(200);
        assertThat(get("/health/ready").statusCode()).isEqualTo(200);
        assertThat(get("/status").body())
                .contains("\"name\":\"agent-1\"", "\"target\":\"t1\"", "\"configRevision\":2", "\"name\":\"entry-1\"")
                .contains(agent.incarnation().toString());
        assertThat(get("/metrics").body())
                .contains("masticfold_agent_refusals_total{reason=\"queue_full\"} 0.0")
                .contains("masticfold_agent_config_revision 2.0");
    }

    /** A shutdown completes attempts in progress, and entries learn not to send new ones to the agent. */
    @Test
    void stopCompletesAttemptsInProgressAndRefusesNewOnes() throws Exception {
        start(400);
        CompletableFuture<StageOutcome> running = dispatch(1);
        TestWaits.await("execution", () -> target.executions().size() == 1);
        Thread stopping = new Thread(agent::stop);
        stopping.start();
        AgentLink link = client.link("t1");
        TestWaits.await("announcement", () -> !link.usable());
        StageOutcome late = dispatch(2).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(late).isInstanceOf(StageRefused.class);
        assertThat(running.get(WAIT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(StageCompleted.class);
        stopping.join(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        assertThat(stopping.isAlive()).isFalse();
        assertThat(target.executions()).hasSize(1);
    }

    /** An agent refuses new attempts while its availability zone is out of service. */
    @Test
    void attemptIsRefusedWhileZoneIsOut() throws Exception {
        start(0);
        config.merge(List.of(object(3, new Zone("zone-a", "viti-levu", ZoneState.OUT))));
        TestWaits.await("push", () -> agent.config().snapshot().revision() == 3);
        StageOutcome outcome = dispatch(1).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(outcome).isInstanceOfSatisfying(StageRefused.class, refused -> assertThat(refused.kind())
                .isEqualTo(ErrorKind.ZONE_OUT));
        assertThat(target.executions()).isEmpty();
        assertThat(get("/metrics").body()).contains("masticfold_agent_refusals_total{reason=\"zone_out\"} 1.0");
    }

    private void start(long serviceMillis) throws IOException {
        target = new TargetStandIn(
                LOOPBACK_ANY_PORT, TargetProfile.of("t1", TargetKind.STAGE).withService(serviceMillis, 1, 1));
        target.start();
        agent = new AgentDaemon(new AgentSettings(
                "agent-1",
                "zone-a",
                "viti-levu",
                "t1",
                LOOPBACK_ANY_PORT,
                LOOPBACK_ANY_PORT,
                target.address(),
                SECRET,
                10_000));
        agent.start();
        client = new WireClient(environment(), PermitHandler.DENY_ALL, new SplittableRandom(3), 1);
        client.start();
        config.merge(List.of(
                object(1, new Zone("zone-a", "viti-levu", ZoneState.IN)),
                object(2, target(agent.listenAddress().getPort()))));
        TestWaits.await(
                "link", () -> client.link("t1") != null && client.link("t1").usable());
        TestWaits.await("configuration", () -> agent.config().snapshot().revision() == 2);
    }

    private WireEnvironment environment() {
        return new WireEnvironment(
                new WireIdentity("entry-1", "zone-a", PeerRole.ENTRY, ENTRY),
                SharedSecret.ofUtf8(SECRET),
                config,
                new JsonSpecCodec(),
                QuotaExchange.NONE,
                TimeSource.system(),
                Telemetry.NONE);
    }

    private Target target(int port) {
        return new Target(
                "t1",
                "zone-a",
                "rerank",
                TargetKind.STAGE,
                "127.0.0.1:" + port,
                "127.0.0.1:" + target.address().getPort(),
                TargetState.SERVING,
                8,
                1,
                4,
                false,
                false,
                null);
    }

    private static ConfigObject object(long version, ConfigSpec spec) {
        return new ConfigObject(new ObjectKey(spec.kind(), spec.name()), version, "c" + version, spec);
    }

    private CompletableFuture<StageOutcome> dispatch(long counter) {
        CompletableFuture<StageOutcome> outcome = new CompletableFuture<>();
        StageDispatch dispatch = new StageDispatch(
                new AttemptId(ENTRY, counter),
                "r" + counter,
                "workspace-1",
                "pipeline-1",
                0,
                "t1",
                agent.incarnation(),
                true,
                4,
                1,
                8_000_000,
                0,
                false,
                0,
                0,
                Payload.ofUtf8("{}"));
        client.link("t1").dispatch(dispatch, new StageListener() {
            @Override
            public void chunk(long _offset, Payload _bytes) {
                throw new AssertionError("unexpected chunk of a non-streaming stage");
            }

            @Override
            public void outcome(StageOutcome result, TargetLoad _load) {
                outcome.complete(result);
            }
        });
        return outcome;
    }

    private HttpResponse<String> get(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + agent.adminAddress().getPort() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }
}
