package io.masticfold.core.check;

import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.PoolShare;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.forward.WorkspaceSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Finds entries of a configuration that no request can reach, or whose requests nothing can serve. */
public final class UnusedEntries {

    private final ForwardConfig config;
    private final Optional<Map<String, PoolServers>> servers;
    private final List<ConfigFinding> findings = new ArrayList<>();

    private UnusedEntries(ForwardConfig config, Optional<Map<String, PoolServers>> servers) {
        this.config = config;
        this.servers = servers;
    }

    /**
     * Returns the findings.
     *
     * @param servers servers by pool; empty if they are not known
     */
    public static List<ConfigFinding> find(ForwardConfig config, Optional<Map<String, PoolServers>> servers) {
        UnusedEntries unused = new UnusedEntries(config, servers);
        unused.checkRoutes();
        unused.checkPools();
        unused.checkWorkspaces();
        return List.copyOf(unused.findings);
    }

    private void checkRoutes() {
        Map<List<String>, String> firstByAddress = new HashMap<>();
        Set<String> names = new HashSet<>();
        List<ForwardRoute> routes = config.routes();
        for (int index = 0; index < routes.size(); index++) {
            ForwardRoute route = routes.get(index);
            String first = firstByAddress.putIfAbsent(List.of(route.host(), route.pathPrefix()), route.name());
            if (first != null) {
                add(
                        index,
                        ConfigProperty.PATH_PREFIX,
                        "route " + route.name() + " receives no requests: route " + first
                                + " has the same host and prefix and comes first");
            }
            if (!names.add(route.name())) {
                add(index, ConfigProperty.NAME, "another route has the name " + route.name() + " too");
            }
            for (PoolShare share : route.pools()) {
                checkShare(index, route, share);
            }
            for (StageSpec stage : route.stages()) {
                checkStage(index, route, stage);
            }
            if (new StageGraph(route.stages()).hasCycle()) {
                add(
                        index,
                        ConfigProperty.STAGES,
                        "stages of route " + route.name() + " wait for each other, so that no request can be served");
            }
        }
    }

    private void checkShare(int index, ForwardRoute route, PoolShare share) {
        if (share.weight() == 0) {
            add(
                    index,
                    ConfigProperty.POOLS,
                    "service " + share.pool() + " receives no requests of route " + route.name() + ": its weight is 0");
        }
        checkPool(index, ConfigProperty.POOLS, route, share.pool());
    }

    private void checkStage(int index, ForwardRoute route, StageSpec stage) {
        checkPool(index, ConfigProperty.STAGES, route, stage.pool());
        if (config.pool(stage.pool()).filter(pool -> pool.stage() == null).isPresent()) {
            add(
                    index,
                    ConfigProperty.STAGES,
                    "service " + stage.pool() + " runs a stage of route " + route.name() + " but runs no stages");
        }
    }

    private void checkPool(int index, ConfigProperty property, ForwardRoute route, String pool) {
        if (config.pool(pool).isEmpty()) {
            add(
                    index,
                    property,
                    "requests of route " + route.name() + " to service " + pool
                            + " are refused: the service is not configured");
        } else if (servers.filter(known -> !known.containsKey(pool)).isPresent()) {
            add(
                    index,
                    property,
                    "requests of route " + route.name() + " to service " + pool + " are refused: it has no server");
        }
    }

    private void checkPools() {
        Set<String> used = new HashSet<>();
        for (ForwardRoute route : config.routes()) {
            route.pools().forEach(share -> used.add(share.pool()));
            route.stages().forEach(stage -> used.add(stage.pool()));
        }
        Set<String> names = new HashSet<>();
        List<PoolSpec> pools = config.configuredPools();
        for (int index = 0; index < pools.size(); index++) {
            String name = pools.get(index).name();
            if (!names.add(name)) {
                findings.add(new ConfigFinding(
                        ConfigSection.POOL,
                        index,
                        ConfigProperty.NAME,
                        "service " + name + " is configured more than once; the last one applies"));
            } else if (!used.contains(name)) {
                findings.add(new ConfigFinding(
                        ConfigSection.POOL, index, ConfigProperty.NAME, "no route uses service " + name));
            }
        }
    }

    private void checkWorkspaces() {
        Map<String, String> workspaceByKey = new HashMap<>();
        List<WorkspaceSpec> workspaces = config.workspaces();
        for (int index = 0; index < workspaces.size(); index++) {
            String name = workspaces.get(index).name();
            Set<String> others = new HashSet<>();
            for (String key : workspaces.get(index).keys()) {
                String other = workspaceByKey.put(key, name);
                if (other != null) {
                    others.add(other);
                }
            }
            if (!others.isEmpty()) {
                findings.add(new ConfigFinding(
                        ConfigSection.WORKSPACE,
                        index,
                        ConfigProperty.KEYS,
                        "workspace " + name + " has a key of workspace " + String.join(", ", others)
                                + "; requests with it count for " + name));
            }
        }
    }

    private void add(int index, ConfigProperty property, String message) {
        findings.add(new ConfigFinding(ConfigSection.ROUTE, index, property, message));
    }
}
