package io.masticfold.core.check;

import io.masticfold.core.forward.CallerAuthentication;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.PoolShare;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.forward.WorkspaceSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Builds configurations for tests; without changes, one of them has no findings. */
final class ConfigBuilder {

    long version = 1;
    RequestLimits limits = RequestLimits.DEFAULT;
    final List<ForwardRoute> routes = new ArrayList<>();
    final List<PoolSpec> pools = new ArrayList<>();
    final List<WorkspaceSpec> workspaces = new ArrayList<>();

    /** Returns a configuration with one route, its service, a stage pool that it uses and one workspace. */
    static ConfigBuilder sound() {
        ConfigBuilder builder = new ConfigBuilder();
        builder.routes.add(route("r", "/r/", RequestKind.SAFE, 2000, 1000, 2, 1, List.of(stage())));
        builder.pools.add(pool("p", 2));
        builder.pools.add(stagePool("s"));
        builder.workspaces.add(new WorkspaceSpec("w", Set.of("k1"), 1));
        return builder;
    }

    static ForwardRoute route(
            String name,
            String prefix,
            RequestKind kind,
            int timeoutMillis,
            int objectiveMillis,
            int attempts,
            double weight,
            List<StageSpec> stages) {
        return new ForwardRoute(
                name,
                "a.example",
                prefix,
                kind,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(objectiveMillis),
                Duration.ofMillis(timeoutMillis),
                1,
                attempts,
                List.of(new PoolShare("p", weight)),
                stages,
                false,
                false);
    }

    static StageSpec stage(Integer... inputs) {
        return new StageSpec("s", List.of(inputs), 1000);
    }

    static PoolSpec pool(String name, double coldRate) {
        return new PoolSpec(name, 10, coldRate, null, null);
    }

    /** Returns a pool whose calls with one piece take 100 ms and whose servers store 10,000 bytes of results. */
    static PoolSpec stagePool(String name) {
        return new PoolSpec(name, 10, 1, null, new StagePoolSpec(1, 2, 6, 90, 10, 10_000, 4000));
    }

    ForwardConfig build() {
        return new ForwardConfig(version, limits, routes, pools, CallerAuthentication.API_KEY, workspaces);
    }
}
