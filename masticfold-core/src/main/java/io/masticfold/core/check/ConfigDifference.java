package io.masticfold.core.check;

import io.masticfold.core.check.ConfigChange.Type;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.forward.WorkspaceSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/** Compares two configurations by their meaning. The order of parts makes no difference; API keys are only counted. */
public final class ConfigDifference {

    private static final Map<ConfigProperty, Function<RequestLimits, Object>> LIMITS = Map.of(
            ConfigProperty.MAX_HEADER_BYTES, RequestLimits::maxHeaderBytes,
            ConfigProperty.MAX_BODY_BYTES, RequestLimits::maxBodyBytes,
            ConfigProperty.HEADER_TIMEOUT, RequestLimits::headerTimeout,
            ConfigProperty.IDLE_TIMEOUT, RequestLimits::idleTimeout);

    private static final Map<ConfigProperty, Function<ForwardRoute, Object>> ROUTE = Map.ofEntries(
            Map.entry(ConfigProperty.HOST, ForwardRoute::host),
            Map.entry(ConfigProperty.PATH_PREFIX, ForwardRoute::pathPrefix),
            Map.entry(ConfigProperty.KIND, ForwardRoute::kind),
            Map.entry(ConfigProperty.TIMEOUT, ForwardRoute::timeout),
            Map.entry(ConfigProperty.LATENCY_OBJECTIVE, ForwardRoute::latencyObjective),
            // Without a stream, the patience is the timeout, which is compared already.
            Map.entry(
                    ConfigProperty.EVENT_PATIENCE,
                    route -> route.kind().streaming() ? route.eventPatience() : Duration.ZERO),
            Map.entry(ConfigProperty.PRIORITY, ForwardRoute::priority),
            Map.entry(ConfigProperty.MAX_ATTEMPTS, ForwardRoute::maxAttempts),
            Map.entry(ConfigProperty.POOLS, ForwardRoute::pools),
            Map.entry(ConfigProperty.STAGES, ForwardRoute::stages),
            Map.entry(ConfigProperty.PUBLIC_ACCESS, ForwardRoute::publicAccess),
            Map.entry(ConfigProperty.CACHE_AFFINITY, ForwardRoute::cacheAffinity));

    private static final Map<ConfigProperty, Function<PoolSpec, Object>> POOL = Map.of(
            ConfigProperty.MAX_CONNECTIONS,
            PoolSpec::maxConnections,
            ConfigProperty.COLD_RATE,
            PoolSpec::coldRequestsPerSecond,
            ConfigProperty.ENGINE,
            pool -> Objects.requireNonNullElse(pool.engine(), ""),
            ConfigProperty.STAGE_POOL,
            pool -> Objects.requireNonNullElse(pool.stage(), ""));

    private static final Map<ConfigProperty, Function<WorkspaceSpec, Object>> WORKSPACE =
            Map.of(ConfigProperty.PRIORITY, WorkspaceSpec::priority);

    private final List<ConfigChange> changes = new ArrayList<>();

    private ConfigDifference() {}

    /** Returns what differs in the later configuration. */
    public static List<ConfigChange> between(ForwardConfig earlier, ForwardConfig later) {
        ConfigDifference difference = new ConfigDifference();
        difference.compareProperties(
                ConfigSection.CONFIGURATION,
                "",
                Map.of(
                        ConfigProperty.VERSION,
                        ForwardConfig::version,
                        ConfigProperty.AUTHENTICATION,
                        ForwardConfig::authentication),
                earlier,
                later);
        difference.compareProperties(ConfigSection.LIMITS, "", LIMITS, earlier.limits(), later.limits());
        difference.compareParts(
                ConfigSection.ROUTE,
                ROUTE,
                byName(earlier.routes(), ForwardRoute::name),
                byName(later.routes(), ForwardRoute::name));
        difference.compareParts(
                ConfigSection.POOL,
                POOL,
                byName(earlier.configuredPools(), PoolSpec::name),
                byName(later.configuredPools(), PoolSpec::name));
        Map<String, WorkspaceSpec> earlierWorkspaces = byName(earlier.workspaces(), WorkspaceSpec::name);
        Map<String, WorkspaceSpec> laterWorkspaces = byName(later.workspaces(), WorkspaceSpec::name);
        difference.compareParts(ConfigSection.WORKSPACE, WORKSPACE, earlierWorkspaces, laterWorkspaces);
        laterWorkspaces.forEach((name, workspace) -> {
            WorkspaceSpec before = earlierWorkspaces.get(name);
            difference.compareKeys(name, before == null ? Set.of() : before.keys(), workspace.keys());
        });
        earlierWorkspaces.forEach((name, workspace) -> {
            if (!laterWorkspaces.containsKey(name)) {
                difference.compareKeys(name, workspace.keys(), Set.of());
            }
        });
        return List.copyOf(difference.changes);
    }

    /** Returns the parts by name; a name that is used again is followed by its number, so that no part is left out. */
    private static <T> Map<String, T> byName(List<T> parts, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        Map<String, Integer> uses = new LinkedHashMap<>();
        for (T part : parts) {
            int use = uses.merge(name.apply(part), 1, Integer::sum);
            byName.put(use == 1 ? name.apply(part) : name.apply(part) + " (" + use + ")", part);
        }
        return byName;
    }

    private <T> void compareParts(
            ConfigSection section,
            Map<ConfigProperty, Function<T, Object>> properties,
            Map<String, T> earlier,
            Map<String, T> later) {
        earlier.forEach((name, part) -> {
            T after = later.get(name);
            if (after == null) {
                changes.add(new ConfigChange(Type.REMOVED, section, name, ConfigProperty.ALL, "", ""));
            } else {
                compareProperties(section, name, properties, part, after);
            }
        });
        later.keySet().stream()
                .filter(name -> !earlier.containsKey(name))
                .forEach(name -> changes.add(new ConfigChange(Type.ADDED, section, name, ConfigProperty.ALL, "", "")));
    }

    private <T> void compareProperties(
            ConfigSection section,
            String name,
            Map<ConfigProperty, Function<T, Object>> properties,
            T earlier,
            T later) {
        properties.keySet().stream().sorted().forEach(property -> {
            Object before = properties.get(property).apply(earlier);
            Object after = properties.get(property).apply(later);
            if (!before.equals(after)) {
                changes.add(new ConfigChange(Type.CHANGED, section, name, property, text(before), text(after)));
            }
        });
    }

    private void compareKeys(String workspace, Set<String> earlier, Set<String> later) {
        addKeys(Type.ADDED, workspace, later, earlier);
        addKeys(Type.REMOVED, workspace, earlier, later);
    }

    private void addKeys(Type type, String workspace, Set<String> keys, Set<String> others) {
        Set<String> only = new HashSet<>(keys);
        only.removeAll(others);
        if (!only.isEmpty()) {
            String count = String.valueOf(only.size());
            changes.add(new ConfigChange(
                    type,
                    ConfigSection.WORKSPACE,
                    workspace,
                    ConfigProperty.KEYS,
                    type == Type.REMOVED ? count : "",
                    type == Type.ADDED ? count : ""));
        }
    }

    private static String text(Object value) {
        return value instanceof Duration duration ? duration.toMillis() + " ms" : value.toString();
    }
}
