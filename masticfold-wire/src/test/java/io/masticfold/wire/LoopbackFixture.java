package io.masticfold.wire;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.time.TimeSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Runs the server of an agent and the client of an entry, connected over loopback. */
final class LoopbackFixture implements AutoCloseable {

    static final Incarnation ENTRY = new Incarnation(1_000, 7);
    static final Incarnation AGENT = new Incarnation(2_000, -9);
    static final TargetLoad LOAD = new TargetLoad(Temperature.WARM, 1, 2, 8, 4_000);

    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(5);

    final SpecCodec codec = new TestSpecCodec();
    final ConfigReplica entryConfig = new ConfigReplica();
    final ConfigReplica agentConfig = new ConfigReplica();
    final CountingTelemetry entryTelemetry = new CountingTelemetry();
    final CountingTelemetry agentTelemetry = new CountingTelemetry();
    final RecordingHandler handler = new RecordingHandler();
    final WireServer server;
    final WireClient client;

    LoopbackFixture(String entrySecret, String agentSecret) throws IOException {
        this(entrySecret, agentSecret, PermitHandler.DENY_ALL);
    }

    LoopbackFixture(String entrySecret, String agentSecret, PermitHandler permits) throws IOException {
        server = new WireServer(
                environment("agent-1", PeerRole.AGENT, AGENT, agentSecret, agentConfig, codec, agentTelemetry),
                new InetSocketAddress("127.0.0.1", 0),
                handler,
                new FixedState(),
                1);
        server.start();
        client = new WireClient(
                environment("entry-1", PeerRole.ENTRY, ENTRY, entrySecret, entryConfig, codec, entryTelemetry),
                permits,
                new SplittableRandom(11),
                1);
        client.start();
    }

    /** Agent state with a constant load. */
    private static final class FixedState implements AgentState {

        @Override
        public TargetLoad load() {
            return LOAD;
        }

        @Override
        public boolean leaving() {
            return false;
        }
    }

    static WireEnvironment environment(
            String process,
            PeerRole role,
            Incarnation incarnation,
            String secret,
            ConfigReplica config,
            SpecCodec codec,
            CountingTelemetry telemetry) {
        return new WireEnvironment(
                new WireIdentity(process, "zone-a", role, incarnation),
                SharedSecret.ofUtf8(secret),
                config,
                codec,
                QuotaExchange.NONE,
                TimeSource.system(),
                telemetry);
    }

    /** Starts a server and a client and waits until their link is usable. */
    static LoopbackFixture connected() throws IOException {
        LoopbackFixture fixture = new LoopbackFixture("secret", "secret");
        fixture.entryConfig.merge(List.of(fixture.target(1)));
        fixture.awaitUsable();
        return fixture;
    }

    void awaitUsable() {
        await(
                "usable link",
                () -> client.link("t1") != null && client.link("t1").usable());
    }

    /** Waits until a condition holds; fails after {@link #WAIT}, which a passing test does not reach. */
    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition not met within " + WAIT + ": " + what);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }

    ConfigObject target(long version) {
        return target("t1", version, server.address().getPort());
    }

    static ConfigObject target(String name, long version, int port) {
        return object(
                version,
                new Target(
                        name,
                        "zone-a",
                        "rerank",
                        TargetKind.STAGE,
                        "127.0.0.1:" + port,
                        "127.0.0.1:9",
                        TargetState.SERVING,
                        8,
                        1,
                        4,
                        false,
                        false,
                        null));
    }

    static ConfigObject zone(String name, long version, ZoneState state) {
        return object(version, new Zone(name, "viti-levu", state));
    }

    private static ConfigObject object(long version, ConfigSpec spec) {
        return new ConfigObject(new ObjectKey(spec.kind(), spec.name()), version, "c" + version, spec);
    }

    static StageDispatch dispatch(long counter, boolean idempotent, boolean streaming) {
        return new StageDispatch(
                new AttemptId(ENTRY, counter),
                "r" + counter,
                "workspace-1",
                "pipeline-1",
                2,
                "t1",
                AGENT,
                idempotent,
                9,
                2.5,
                750_000,
                1_000,
                streaming,
                0,
                -5,
                Payload.ofUtf8("{\"q\":" + counter + "}"));
    }

    @Override
    public void close() {
        client.stop();
        server.stop();
    }
}
