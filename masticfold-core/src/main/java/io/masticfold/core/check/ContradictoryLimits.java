package io.masticfold.core.check;

import io.masticfold.core.forward.CallerAuthentication;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.PoolShare;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.forward.WorkspaceSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds limits of a configuration that cannot be kept together. */
public final class ContradictoryLimits {

    /** Bytes of the shortest request line and Host field around prefix and host, with the empty line at the end. */
    private static final int SHORTEST_HEAD_BYTES = "GET  HTTP/1.1\r\nHost: \r\n\r\n".length();

    private final ForwardConfig config;
    private final Optional<Map<String, PoolServers>> servers;
    private final List<ConfigFinding> findings = new ArrayList<>();

    private ContradictoryLimits(ForwardConfig config, Optional<Map<String, PoolServers>> servers) {
        this.config = config;
        this.servers = servers;
    }

    /**
     * Returns the findings.
     *
     * @param servers servers by pool; empty if they are not known
     */
    public static List<ConfigFinding> find(ForwardConfig config, Optional<Map<String, PoolServers>> servers) {
        ContradictoryLimits limits = new ContradictoryLimits(config, servers);
        List<ForwardRoute> routes = config.routes();
        for (int index = 0; index < routes.size(); index++) {
            limits.checkTimes(index, routes.get(index));
            limits.checkAttempts(index, routes.get(index));
            limits.checkStageResults(index, routes.get(index));
            limits.checkHead(routes.get(index));
        }
        limits.checkColdRates();
        return List.copyOf(limits.findings);
    }

    private void checkTimes(int index, ForwardRoute route) {
        if (route.latencyObjective().compareTo(route.timeout()) > 0) {
            add(
                    index,
                    ConfigProperty.LATENCY_OBJECTIVE,
                    "latency objective of route " + route.name() + ", "
                            + route.latencyObjective().toMillis() + " ms, is above its timeout, "
                            + route.timeout().toMillis() + " ms: a request within the objective is ended before");
        }
        double stageMillis =
                new StageGraph(route.stages()).longestPath(this::shortestMillis).orElse(0);
        if (stageMillis > route.timeout().toMillis()) {
            add(
                    index,
                    ConfigProperty.TIMEOUT,
                    "timeout of route " + route.name() + ", " + route.timeout().toMillis()
                            + " ms, is below the shortest time of its stages, " + Math.round(stageMillis)
                            + " ms: no request can be answered in time");
        }
    }

    private double shortestMillis(StageSpec stage) {
        return stagePool(stage).map(pool -> pool.expectedCallMillis(1)).orElse(0.0);
    }

    private Optional<StagePoolSpec> stagePool(StageSpec stage) {
        return config.pool(stage.pool()).flatMap(pool -> Optional.ofNullable(pool.stage()));
    }

    private void checkAttempts(int index, ForwardRoute route) {
        int attempts = route.maxAttempts();
        if (attempts > 1 && !route.kind().repeatable()) {
            add(
                    index,
                    ConfigProperty.MAX_ATTEMPTS,
                    "route " + route.name() + " allows " + attempts
                            + " attempts, but its requests may not be repeated once they may have run");
        }
        for (PoolShare share : route.pools()) {
            int count = servers.map(known ->
                            known.getOrDefault(share.pool(), PoolServers.NONE).count())
                    .orElse(Integer.MAX_VALUE);
            if (count > 0 && attempts > count) {
                add(
                        index,
                        ConfigProperty.MAX_ATTEMPTS,
                        "route " + route.name() + " allows " + attempts + " attempts, but service " + share.pool()
                                + " has " + count + (count == 1 ? " server" : " servers")
                                + ", and a server gets a request once");
            }
        }
    }

    private void checkStageResults(int index, ForwardRoute route) {
        for (StageSpec stage : route.stages()) {
            stagePool(stage)
                    .filter(pool -> stage.resultBytes() > pool.storageBytes())
                    .ifPresent(pool -> add(
                            index,
                            ConfigProperty.STAGES,
                            "a stage of route " + route.name() + " has results of " + stage.resultBytes()
                                    + " bytes, more than the " + pool.storageBytes() + " bytes that a server of "
                                    + stage.pool() + " has for all results"));
        }
    }

    private void checkHead(ForwardRoute route) {
        long shortest = (long) SHORTEST_HEAD_BYTES
                + route.host().length()
                + route.pathPrefix().length();
        if (config.authentication() == CallerAuthentication.API_KEY && !route.publicAccess()) {
            shortest += config.workspaces().stream()
                    .map(WorkspaceSpec::keys)
                    .flatMap(keys -> keys.stream().map(String::length))
                    .min(Integer::compare)
                    .orElse(0);
        }
        if (config.limits().maxHeaderBytes() < shortest) {
            findings.add(new ConfigFinding(
                    ConfigSection.LIMITS,
                    0,
                    ConfigProperty.MAX_HEADER_BYTES,
                    "every request of route " + route.name() + " is refused: its head has at least " + shortest
                            + " bytes, more than the limit of "
                            + config.limits().maxHeaderBytes()));
        }
    }

    private void checkColdRates() {
        List<PoolSpec> pools = config.configuredPools();
        for (int index = 0; index < pools.size(); index++) {
            PoolSpec pool = pools.get(index);
            boolean cold = servers.map(known ->
                            known.getOrDefault(pool.name(), PoolServers.NONE).startCold())
                    .orElse(false);
            if (cold && pool.coldRequestsPerSecond() <= 0) {
                findings.add(new ConfigFinding(
                        ConfigSection.POOL,
                        index,
                        ConfigProperty.COLD_RATE,
                        "servers of service " + pool.name()
                                + " start cold, but no rate for cold servers is configured: they are sent requests"
                                + " as if they were warm"));
            }
        }
    }

    private void add(int index, ConfigProperty property, String message) {
        findings.add(new ConfigFinding(ConfigSection.ROUTE, index, property, message));
    }
}
