package io.masticfold.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds one version of the configuration of forwarded requests. Immutable. */
public final class ForwardConfig {

    private final long version;
    private final RequestLimits limits;
    private final Map<String, PoolSpec> pools;
    private final Map<String, List<ForwardRoute>> routesByHost;
    private final Map<String, WorkspaceSpec> workspacesByKey;

    /**
     * Creates a configuration.
     *
     * @param version version given by the operators; larger is newer
     * @param limits bounds on requests
     * @param routes all routes
     * @param pools all pools
     * @param workspaces all workspaces; none means that requests need no key
     */
    public ForwardConfig(
            long version,
            RequestLimits limits,
            Collection<ForwardRoute> routes,
            Collection<PoolSpec> pools,
            Collection<WorkspaceSpec> workspaces) {
        this.version = version;
        this.limits = limits;
        this.pools = new HashMap<>();
        pools.forEach(pool -> this.pools.put(pool.name(), pool));
        this.routesByHost = new HashMap<>();
        routes.stream()
                .sorted((a, b) ->
                        Integer.compare(b.pathPrefix().length(), a.pathPrefix().length()))
                .forEach(route -> routesByHost
                        .computeIfAbsent(route.host(), _host -> new ArrayList<>())
                        .add(route));
        this.workspacesByKey = new HashMap<>();
        workspaces.forEach(workspace -> workspace.keys().forEach(key -> workspacesByKey.put(key, workspace)));
    }

    /** Returns the version given by the operators. */
    public long version() {
        return version;
    }

    /** Returns the bounds on requests. */
    public RequestLimits limits() {
        return limits;
    }

    /** Finds a pool. */
    public Optional<PoolSpec> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /** Returns all pools. */
    public Collection<PoolSpec> pools() {
        return List.copyOf(pools.values());
    }

    /**
     * Finds the route with the longest prefix of a path.
     *
     * @param host value of the host header, in lower case
     * @param path path of the request without its query
     */
    public Optional<ForwardRoute> route(String host, String path) {
        for (ForwardRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether requests need a key, except on open routes. */
    public boolean needsKey() {
        return !workspacesByKey.isEmpty();
    }

    /** Finds the workspace that owns a key. */
    public Optional<WorkspaceSpec> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }
}
