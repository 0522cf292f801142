package io.masticfold.cli.bench;

import com.sun.management.OperatingSystemMXBean;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.link.StageHandler;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.wire.AgentState;
import io.masticfold.wire.LinkStatus;
import io.masticfold.wire.PeerRole;
import io.masticfold.wire.PermitHandler;
import io.masticfold.wire.QuotaExchange;
import io.masticfold.wire.SharedSecret;
import io.masticfold.wire.WireClient;
import io.masticfold.wire.WireEnvironment;
import io.masticfold.wire.WireIdentity;
import io.masticfold.wire.WireServer;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Measures the processor time of idle links: one entry and a number of agents in this process, without requests. */
final class IdleLinks {

    private static final int BASE_PORT = 25_000;
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration MEASURE = Duration.ofSeconds(5);
    private static final int WIRE_THREADS = 2;
    private static final double PERCENT = 100;
    private static final SharedSecret SECRET = SharedSecret.ofUtf8("bench-shared-secret-0001");

    private final int count;
    private final TimeSource time = TimeSource.system();
    private final Random random = new Random(1);
    private final ConfigReplica entryConfig = new ConfigReplica();

    IdleLinks(int count) {
        this.count = count;
    }

    void measure(List<SlopeRow> rows) throws CommandException {
        List<WireServer> servers = new ArrayList<>();
        WireClient client = new WireClient(
                environment("entry", PeerRole.ENTRY, entryConfig), PermitHandler.DENY_ALL, random, WIRE_THREADS);
        try {
            for (int i = 0; i < count; i++) {
                servers.add(server(i));
            }
            client.start();
            entryConfig.merge(targets());
            Thread.sleep(SETTLE.toMillis());
            long usable = client.status().stream().filter(LinkStatus::usable).count();
            if (usable != count) {
                throw new CommandException(ExitCode.FAILED, usable + " of " + count + " links are usable");
            }
            long before = processorNanos();
            Thread.sleep(MEASURE.toMillis());
            double share = (processorNanos() - before) / (double) MEASURE.toNanos();
            rows.add(new SlopeRow("idle links, both ends", count, "links", share * PERCENT, "% of a core"));
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot listen: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        } finally {
            client.stop();
            servers.forEach(WireServer::stop);
        }
    }

    private WireServer server(int index) throws IOException {
        WireEnvironment environment = environment("agent-" + index, PeerRole.AGENT, new ConfigReplica());
        WireServer server = new WireServer(
                environment, new InetSocketAddress("127.0.0.1", BASE_PORT + index), REFUSING, new Idle(), 1);
        server.start();
        return server;
    }

    private WireEnvironment environment(String process, PeerRole role, ConfigReplica config) {
        WireIdentity identity = new WireIdentity(process, "zone-a", role, Incarnation.start(time, random));
        return new WireEnvironment(
                identity, SECRET, config, new JsonSpecCodec(), QuotaExchange.NONE, time, Telemetry.NONE);
    }

    private List<ConfigObject> targets() {
        List<ConfigObject> objects = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Target target = new Target(
                    "agent-" + i,
                    "zone-a",
                    "pool",
                    TargetKind.STAGE,
                    "127.0.0.1:" + (BASE_PORT + i),
                    "127.0.0.1:1",
                    TargetState.SERVING,
                    1,
                    1,
                    0,
                    false,
                    false,
                    null);
            ObjectKey key = new ObjectKey(ObjectKind.TARGET, target.name());
            objects.add(new ConfigObject(key, i + 1, "change-" + i, target));
        }
        return objects;
    }

    private static long processorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static final StageHandler REFUSING = new UsableLink("idle");

    private static final class Idle implements AgentState {

        @Override
        public TargetLoad load() {
            return TargetLoad.UNKNOWN;
        }

        @Override
        public boolean leaving() {
            return false;
        }
    }
}
