package io.masticfold.cli.bench;

import io.masticfold.cli.dev.DeploymentFiles;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.platform.settings.DeploymentEntry;
import io.masticfold.platform.settings.DeploymentSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Generates the deployment the bench runs: engines, two helper pools and a payment service in four zones. */
final class BenchDeployment {

    private static final String REGION = "bench";
    private static final String SECRET = "bench-shared-secret-0001";
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 65_536;

    private final int basePort;
    private int nextPort;

    private BenchDeployment(int basePort) {
        this.basePort = basePort;
        this.nextPort = basePort + 10 + 2 * BenchSizes.ENTRIES;
    }

    /**
     * Generates a deployment.
     *
     * @param basePort first of about three hundred loopback ports
     * @param contracts contracts of the workspaces
     */
    static DeploymentFiles create(int basePort, List<Contract> contracts) {
        return new BenchDeployment(basePort).files(contracts);
    }

    static String zone(int index) {
        return "zone-" + (char) ('a' + index % BenchSizes.ZONES);
    }

    private DeploymentFiles files(List<Contract> contracts) {
        List<ConfigSpec> specs = new ArrayList<>(contracts);
        for (int i = 0; i < BenchSizes.ZONES; i++) {
            specs.add(new Zone(zone(i), REGION, ZoneState.IN));
        }
        specs.addAll(targets("engine", TargetKind.ENGINE, BenchSizes.ENGINES, BenchSizes.ENGINE_SLOTS));
        specs.addAll(targets("encode", TargetKind.STAGE, BenchSizes.HELPERS_PER_POOL, BenchSizes.HELPER_SLOTS));
        specs.addAll(targets("retrieve", TargetKind.STAGE, BenchSizes.HELPERS_PER_POOL, BenchSizes.HELPER_SLOTS));
        specs.addAll(targets("ledger", TargetKind.SERVICE, BenchSizes.HELPERS_PER_POOL, BenchSizes.HELPER_SLOTS));
        specs.addAll(pipelines());
        return new DeploymentFiles(settings(), specs);
    }

    private static List<Pipeline> pipelines() {
        Stage encode = new Stage("encode", "encode", true, 2, BenchSizes.HELPER_MILLIS, false);
        Stage retrieve = new Stage("retrieve", "retrieve", true, 2, BenchSizes.HELPER_MILLIS, false);
        Stage generate =
                new Stage("generate", "engine", true, BenchSizes.ENGINE_MILLIS, BenchSizes.ENGINE_MILLIS, true);
        Stage pay = new Stage("pay", "ledger", false, 2, BenchSizes.HELPER_MILLIS, false);
        return List.of(
                new Pipeline("answer", List.of(encode, retrieve, generate), MAX_BODY_BYTES),
                new Pipeline("read", List.of(encode), MAX_BODY_BYTES),
                new Pipeline("pay", List.of(encode, pay), MAX_BODY_BYTES));
    }

    private List<Target> targets(String pool, TargetKind kind, int count, int slots) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Target(
                    pool + '-' + i,
                    zone(i),
                    pool,
                    kind,
                    HOST + ':' + nextPort,
                    HOST + ':' + (nextPort + 200),
                    TargetState.SERVING,
                    slots,
                    BenchSizes.COLD_SLOTS,
                    BenchSizes.QUEUE_LIMIT,
                    false,
                    false,
                    null));
            nextPort++;
        }
        return targets;
    }

    private DeploymentSettings settings() {
        List<DeploymentEntry> entries = new ArrayList<>();
        for (int i = 0; i < BenchSizes.ENTRIES; i++) {
            entries.add(new DeploymentEntry(
                    "entry-" + i, zone(i), REGION, address(basePort + 10 + 2 * i), address(basePort + 11 + 2 * i)));
        }
        return new DeploymentSettings(address(basePort), address(basePort + 1), SECRET, entries, Map.of(), Map.of());
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(HOST, port);
    }
}
