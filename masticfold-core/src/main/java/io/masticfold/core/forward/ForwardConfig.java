package io.masticfold.core.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** One version of the configuration for request forwarding. Immutable. */
public final class ForwardConfig {

    private final long version;
    private final RequestLimits limits;
    private final CallerAuthentication authentication;
    private final List<ForwardRoute> routes;
    private final List<PoolSpec> configuredPools;
    private final List<WorkspaceSpec> workspaces;
    private final Map<String, PoolSpec> pools;
    private final Map<String, List<ForwardRoute>> routesByHost;
    private final Map<String, WorkspaceSpec> workspacesByKey;

    /**
     * Creates a configuration.
     *
     * @param version version assigned by the operators; higher is newer
     * @param limits limits on requests
     * @param routes all routes
     * @param pools all pools
     * @param authentication whether requests need an API key
     * @param workspaces all workspaces
     */
    public ForwardConfig(
            long version,
            RequestLimits limits,
            Collection<ForwardRoute> routes,
            Collection<PoolSpec> pools,
            CallerAuthentication authentication,
            Collection<WorkspaceSpec> workspaces) {
        this.version = version;
        this.authentication = authentication;
        this.limits = limits;
        this.routes = List.copyOf(routes);
        this.configuredPools = List.copyOf(pools);
        this.workspaces = List.copyOf(workspaces);
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

    /** Returns the version assigned by the operators. */
    public long version() {
        return version;
    }

    /** Returns the limits on requests. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns whether requests need an API key. */
    public CallerAuthentication authentication() {
        return authentication;
    }

    /** Returns all routes in the order in which they are configured. */
    public List<ForwardRoute> routes() {
        return routes;
    }

    /** Returns all pools in the order in which they are configured; of several with one name, the last one applies. */
    public List<PoolSpec> configuredPools() {
        return configuredPools;
    }

    /** Returns all workspaces in the order in which they are configured. */
    public List<WorkspaceSpec> workspaces() {
        return workspaces;
    }

    /** Returns the pool of a name. */
    public Optional<PoolSpec> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /** Returns all pools. */
    public Collection<PoolSpec> pools() {
        return List.copyOf(pools.values());
    }

    /**
     * Returns the route with the longest path prefix that matches a request.
     *
     * @param host value of the Host header, in lower case
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

    /** Returns the names of all routes. */
    public Set<String> routeNames() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(ForwardRoute::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the longest timeout of the routes whose streams can be taken up; zero if there are none. */
    public Duration longestResumableTimeout() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.kind() == RequestKind.RESUMABLE_STREAM)
                .map(ForwardRoute::timeout)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns whether a request may be served.
     *
     * @param workspace workspace of the caller's API key; empty if the key is unknown or missing
     */
    public boolean admits(ForwardRoute route, Optional<WorkspaceSpec> workspace) {
        return authentication.admits(route, workspace);
    }

    /** Returns the workspace of an API key. */
    public Optional<WorkspaceSpec> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }
}
