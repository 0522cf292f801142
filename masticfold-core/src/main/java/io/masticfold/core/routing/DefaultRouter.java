package io.masticfold.core.routing;

import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.model.Target;
import io.masticfold.core.shed.PoolAttemptListener;
import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Routes attempts to the targets of a pool that accept work, have a usable link and are not ejected. The statistics are
 * shared by all event loops of the entry.
 */
public final class DefaultRouter implements Router {

    private final Supplier<ConfigSnapshot> config;
    private final AgentLinks links;
    private final RouterSettings settings;
    private final RoutingPolicy policy;
    private final TimeSource time;
    private final PoolAttemptListener listener;
    private final Map<String, TargetStats> stats = new ConcurrentHashMap<>();

    DefaultRouter(
            Supplier<ConfigSnapshot> config,
            AgentLinks links,
            RouterSettings settings,
            RoutingPolicy policy,
            TimeSource time,
            PoolAttemptListener listener) {
        this.config = config;
        this.links = links;
        this.settings = settings;
        this.policy = policy;
        this.time = time;
        this.listener = listener;
    }

    /**
     * Creates a router.
     *
     * @param config supplies the current configuration
     * @param links the links to the agents
     * @param strategy strategy for choosing a target
     * @param settings settings of the router
     * @param time the time source
     * @param random the random source; must be safe for use by several threads
     * @param listener notified of the end of every attempt
     */
    public static DefaultRouter create(
            Supplier<ConfigSnapshot> config,
            AgentLinks links,
            RoutingStrategy strategy,
            RouterSettings settings,
            TimeSource time,
            RandomGenerator random,
            PoolAttemptListener listener) {
        return new DefaultRouter(config, links, settings, strategy.newPolicy(settings, random), time, listener);
    }

    @Override
    public Optional<Route> choose(RouteRequest request) {
        List<Candidate> usable = candidates(request);
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        Candidate chosen = policy.choose(withoutEjected(usable), request);
        chosen.stats().acquire();
        return Optional.of(new DefaultRoute(chosen, settings, time, listener));
    }

    private List<Candidate> candidates(RouteRequest request) {
        ConfigSnapshot snapshot = config.get();
        List<Candidate> usable = new ArrayList<>();
        for (Target target : snapshot.targetsInPool(request.pool())) {
            if (request.excluded().contains(target.name()) || !snapshot.acceptsNewWork(target)) {
                continue;
            }
            AgentLink link = links.link(target.name());
            if (link != null && link.usable()) {
                TargetStats targetStats = stats.computeIfAbsent(target.name(), _name -> new TargetStats());
                targetStats.recordLoad(link.load());
                usable.add(new Candidate(target, link, targetStats));
            }
        }
        return usable;
    }

    private List<Candidate> withoutEjected(List<Candidate> usable) {
        long now = time.nanoTime();
        List<Candidate> healthy = usable.stream()
                .filter(candidate -> !candidate.stats().ejected(now))
                .toList();
        int ejected = usable.size() - healthy.size();
        return ejected > usable.size() * settings.maxEjectedShare() ? usable : healthy;
    }
}
