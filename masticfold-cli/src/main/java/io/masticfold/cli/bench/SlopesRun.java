package io.masticfold.cli.bench;

import io.masticfold.cli.command.CommandException;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.limit.AdmissionDecision;
import io.masticfold.core.limit.ContractAdmission;
import io.masticfold.core.limit.QuotaClient;
import io.masticfold.core.limit.QuotaCoordinator;
import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.routing.DefaultRouter;
import io.masticfold.core.routing.RouteRequest;
import io.masticfold.core.routing.RouterSettings;
import io.masticfold.core.routing.RoutingStrategy;
import io.masticfold.core.shed.PoolAttemptListener;
import io.masticfold.core.shed.ShedSettings;
import io.masticfold.core.shed.SheddingAdmission;
import io.masticfold.core.time.TimeSource;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import io.masticfold.wire.proto.Load;
import io.masticfold.wire.proto.QuotaDemand;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

/** Measures how the cost of control work grows with the number of objects, targets, workspaces, entries and links. */
final class SlopesRun {

    private static final int[] OBJECT_COUNTS = {1_000, 4_000, 16_000};
    private static final int[] POOL_SIZES = {8, 64, 512};
    private static final int[] WORKSPACE_COUNTS = {10, 100, 1_000};
    private static final int[] ENTRY_COUNTS = {3, 30, 300};
    private static final int[] LINK_COUNTS = {16, 48, 144};
    private static final int ROUNDS = 200;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KIB = 1_024;

    private final List<SlopeRow> rows = new ArrayList<>();

    /** Measures everything and returns the rows. */
    List<SlopeRow> run() throws CommandException {
        for (int count : OBJECT_COUNTS) {
            measureSnapshot(count);
        }
        for (int size : POOL_SIZES) {
            measureRouting(size);
        }
        for (int count : WORKSPACE_COUNTS) {
            measureQuotaClient(count);
            measureHeartbeat(count);
        }
        for (int count : ENTRY_COUNTS) {
            measureCoordinator(count);
        }
        measureAdmission();
        for (int links : LINK_COUNTS) {
            new IdleLinks(links).measure(rows);
        }
        return List.copyOf(rows);
    }

    private void measureSnapshot(int count) {
        System.gc();
        long before = usedBytes();
        ConfigSnapshot snapshot = ConfigSnapshot.EMPTY.merge(targets(count));
        System.gc();
        rows.add(new SlopeRow(
                "configuration in memory", count, "objects", (usedBytes() - before) / BYTES_PER_KIB, "KiB"));
        double micros = micros(ROUNDS, round -> {
            ConfigObject change = target(round % count, count + round + 1);
            require(snapshot.merge(List.of(change)) != snapshot);
        });
        rows.add(new SlopeRow("one change merged", count, "objects", micros, "us"));
    }

    private void measureRouting(int size) {
        List<ConfigObject> objects = new ArrayList<>(targets(size));
        objects.add(zone(size + 1));
        ConfigSnapshot snapshot = ConfigSnapshot.EMPTY.merge(objects);
        DefaultRouter router = DefaultRouter.create(
                () -> snapshot,
                UsableLink::new,
                RoutingStrategy.EXPECTED_TIME,
                RouterSettings.DEFAULT,
                TimeSource.system(),
                new Random(1),
                PoolAttemptListener.NONE);
        RouteRequest request = new RouteRequest("pool", "zone-a", 0, Set.of());
        double micros = micros(ROUNDS * 20, _round -> router.choose(request)
                .orElseThrow()
                .release(new StageCompleted(Payload.EMPTY, 1), TargetLoad.UNKNOWN, 1));
        rows.add(new SlopeRow("one target chosen", size, "targets in the pool", micros, "us"));
    }

    private void measureQuotaClient(int workspaces) {
        QuotaClient client = new QuotaClient(TimeSource.system());
        List<Contract> contracts =
                IntStream.range(0, workspaces).mapToObj(SlopesRun::contract).toList();
        List<String> agents =
                IntStream.range(0, 100).mapToObj(i -> "agent-" + i).toList();
        double micros = micros(ROUNDS, _round -> {
            contracts.forEach(client::shareForArrival);
            client.collectDemands(agents);
        });
        rows.add(new SlopeRow("one demand report", workspaces, "active workspaces", micros, "us"));
    }

    private void measureHeartbeat(int workspaces) {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setSequence(100_000)
                .setConfigRevision(1_000_000)
                .setConfigDigest(Long.MIN_VALUE)
                .setConnectedEntries(300)
                .setLoad(Load.newBuilder()
                        .setTemperature(2)
                        .setInFlight(30)
                        .setLimit(40)
                        .setServiceMicros(50_000));
        rows.add(new SlopeRow("heartbeat without demand", 0, "workspaces", frameBytes(heartbeat), "bytes"));
        for (int i = 0; i < workspaces; i++) {
            heartbeat.addDemand(QuotaDemand.newBuilder()
                    .setWorkspace("workspace-" + i)
                    .setRequestsPerSecond(12.5)
                    .setLimitPerSecond(100));
        }
        rows.add(new SlopeRow("heartbeat with demand", workspaces, "workspaces", frameBytes(heartbeat), "bytes"));
    }

    private static double frameBytes(Heartbeat.Builder heartbeat) {
        return Frame.newBuilder().setHeartbeat(heartbeat).build().getSerializedSize();
    }

    private void measureCoordinator(int entries) {
        QuotaCoordinator coordinator = new QuotaCoordinator(TimeSource.system());
        List<WorkspaceDemand> demand = List.of(new WorkspaceDemand("workspace", 10, 100));
        double micros = micros(ROUNDS * 5, round -> coordinator.exchange(new Incarnation(1, round % entries), demand));
        rows.add(new SlopeRow("one demand answered", entries, "entries of the workspace", micros, "us"));
    }

    private void measureAdmission() {
        SheddingAdmission admission = new SheddingAdmission(
                new ContractAdmission(TimeSource.system(), Contract::requestsPerSecond),
                ShedSettings.DEFAULT,
                TimeSource.system(),
                new Random(1));
        Stage stage = new Stage("stage", "pool", true, 1, 1, false);
        Pipeline pipeline = new Pipeline("pipeline", List.of(stage), 1_024);
        Contract contract = contract(0);
        double micros = micros(ROUNDS * 100, _round -> {
            if (admission.admit(contract, pipeline) instanceof AdmissionDecision.Admitted admitted) {
                admitted.ticket().completed();
            }
        });
        rows.add(new SlopeRow("one request admitted", 1, "stages", micros, "us"));
    }

    private static double micros(int rounds, IntConsumer operation) {
        for (int i = 0; i < rounds; i++) {
            operation.accept(i);
        }
        long start = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            operation.accept(i);
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / rounds;
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalStateException("the merged change is not newer");
        }
    }

    private static long usedBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static List<ConfigObject> targets(int count) {
        return IntStream.range(0, count).mapToObj(i -> target(i, i + 1)).toList();
    }

    private static ConfigObject target(int index, long version) {
        Target target = new Target(
                "target-" + index,
                "zone-a",
                "pool",
                TargetKind.ENGINE,
                "10.0.0.1:7000",
                "10.0.0.1:8000",
                TargetState.SERVING,
                40,
                4,
                64,
                true,
                true,
                null);
        return new ConfigObject(new ObjectKey(ObjectKind.TARGET, target.name()), version, "change-" + version, target);
    }

    private static ConfigObject zone(long version) {
        Zone zone = new Zone("zone-a", "region", ZoneState.IN);
        return new ConfigObject(new ObjectKey(ObjectKind.ZONE, zone.name()), version, "change-" + version, zone);
    }

    private static Contract contract(int index) {
        return new Contract(
                "workspace-" + index,
                "workspace-" + index,
                "0".repeat(64),
                8_000,
                1,
                5,
                1_000_000,
                1_000_000,
                1_000,
                List.of("pipeline"));
    }
}
