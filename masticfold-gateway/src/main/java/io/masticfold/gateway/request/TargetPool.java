package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.placement.AnswerTime;
import io.masticfold.core.placement.CompletionTimePlacement;
import io.masticfold.core.placement.EnginePlacement;
import io.masticfold.core.placement.LeastLoadedPlacement;
import io.masticfold.core.placement.PlacementRequest;
import io.masticfold.core.placement.PoolForecast;
import io.masticfold.core.placement.PromptPrefix;
import io.masticfold.core.placement.RecentPrefixes;
import io.masticfold.core.placement.ServiceTimeModel;
import io.masticfold.core.placement.TargetCandidate;
import io.masticfold.core.placement.TargetLoadView;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.load.TargetLoads;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Selects targets of one pool and tracks the state of each. Used by one thread. */
final class TargetPool {

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final TargetRateLimits limits;
    private final TargetLoads loads;
    private final String name;
    private final RetryBudget budget;
    private final Map<String, TargetTracker> states = new HashMap<>();
    private final RecentPrefixes recentPrefixes = new RecentPrefixes();

    TargetPool(GatewayContext context, TargetRateLimits limits, TargetLoads loads, String name, RetryBudget budget) {
        this.context = context;
        this.limits = limits;
        this.loads = loads;
        this.name = name;
        this.budget = budget;
    }

    RetryBudget budget() {
        return budget;
    }

    /**
     * Selects a target to which a request is sent now, among those whose bounds allow one more.
     *
     * @param spec configuration of the pool
     * @param routed the request
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     * @param excluded tells the targets that must not be used
     * @param gateways number of gateways that share the rate limit of a cold target
     */
    Optional<TargetTracker> choose(
            PoolSpec spec,
            RoutedRequest routed,
            Map<String, Long> resultBytes,
            Predicate<TargetRecord> excluded,
            int gateways) {
        long now = context.scheduler().nanoTime();
        List<TargetTracker> candidates = sendable(spec, excluded, gateways, now);
        Optional<TargetTracker> choice = loads.paced(name) && spec.engine() == null
                ? chooseByTime(candidates, request(routed, resultBytes), now)
                : chooseByLoad(spec, candidates, routed.prompt(), resultBytes, now);
        return choice;
    }

    /** Records that a request is sent to a target, for the rate limit that it may name. */
    void recordSend(TargetTracker tracker) {
        limits.recordSend(tracker.target());
    }

    private List<TargetTracker> sendable(PoolSpec spec, Predicate<TargetRecord> excluded, int gateways, long now) {
        List<TargetRecord> usable = context.view().directory().usable(name);
        List<TargetTracker> trackers = usable.stream()
                .filter(excluded.negate())
                .map(target -> state(target, now))
                .filter(state -> withinColdLimit(spec, state, gateways, now))
                .filter(state -> limits.waitTime(state.target()).isZero())
                .toList();
        if (states.size() > usable.size()) {
            states.values()
                    .removeIf(state ->
                            context.view().directory().find(state.target().id()).isEmpty());
        }
        return trackers;
    }

    private Optional<TargetTracker> chooseByLoad(
            PoolSpec spec,
            List<TargetTracker> candidates,
            PromptPrefix prompt,
            Map<String, Long> resultBytes,
            long now) {
        List<TargetLoadView> views = candidates.stream()
                .map(state -> state.view(local(state.target()), loads.paced(name), now))
                .toList();
        Optional<TargetLoadView> choice = spec.engine() == null
                ? LeastLoadedPlacement.choose(views)
                : EnginePlacement.choose(views, prompt, resultBytes);
        return choice.map(view -> {
            TargetTracker tracker = states.get(view.target().id());
            tracker.planTokens(prompt.totalTokens());
            return tracker;
        });
    }

    private Optional<TargetTracker> chooseByTime(List<TargetTracker> trackers, PlacementRequest request, long now) {
        List<TargetCandidate> candidates = candidates(trackers, now);
        return CompletionTimePlacement.choose(
                        candidates,
                        request,
                        loads.model(name),
                        ThreadLocalRandom.current().nextDouble())
                .map(candidate -> {
                    TargetTracker tracker = states.get(candidate.target().id());
                    tracker.planTokens(CompletionTimePlacement.tokensToRead(candidate, candidates, request));
                    recentPrefixes.record(request.prompt(), candidate.target().incarnation());
                    return tracker;
                });
    }

    private List<TargetCandidate> candidates(List<TargetTracker> trackers, long now) {
        return trackers.stream()
                .map(state -> state.candidate(local(state.target()), now))
                .toList();
    }

    private PlacementRequest request(RoutedRequest routed, Map<String, Long> resultBytes) {
        Duration failureCost = routed.route().kind().repeatable()
                ? routed.route().latencyObjective()
                : routed.route().timeout();
        return new PlacementRequest(routed.prompt(), recentPrefixes.targets(routed.prompt()), resultBytes, failureCost);
    }

    /**
     * Predicts how the pool would serve a request that is sent now; empty if its targets report no pace or too few
     * requests have been answered.
     *
     * @param gateways number of gateways that share the rate limit of a cold target
     */
    Optional<PoolForecast> forecast(PoolSpec spec, RoutedRequest routed, int gateways) {
        if (!loads.paced(name)) {
            return Optional.empty();
        }
        long now = context.scheduler().nanoTime();
        List<TargetCandidate> candidates = candidates(sendable(spec, _target -> false, gateways, now), now);
        return CompletionTimePlacement.forecast(candidates, request(routed, Map.of()), loads.model(name));
    }

    /**
     * Records the time until the first answer to a request.
     *
     * @param tokens prompt tokens that the target had to read first
     * @param inFlight requests that were there when it was sent
     */
    void recordAnswerTime(TargetTracker tracker, long tokens, int inFlight, Duration took) {
        AnswerTime sample =
                new AnswerTime(tokens, inFlight, tracker.target().slots(), took.toNanos() / NANOS_PER_MILLI);
        ServiceTimeModel model = loads.model(name);
        if (model.known()) {
            tracker.load()
                    .tookMillis(
                            sample.observedMillis(),
                            sample.expectedMillis(model),
                            context.scheduler().nanoTime());
        }
        sample.recordTo(model);
    }

    /** Returns the slots of the usable targets and the requests there, as far as known. */
    PoolLoad load() {
        long now = context.scheduler().nanoTime();
        int slots = 0;
        int known = 0;
        int own = 0;
        for (TargetRecord target : context.view().directory().usable(name)) {
            TargetTracker tracker = state(target, now);
            slots += Math.max(1, target.slots());
            known += tracker.knownLoad(now);
            own += tracker.load().shared().ownInFlight();
        }
        // Without news of the peers, they are taken to have as many requests there as this gateway.
        return new PoolLoad(
                slots,
                loads.paced(name) ? known : Math.max(known, own * context.view().sharingGateways()));
    }

    private boolean local(TargetRecord target) {
        return target.zone().equals(context.settings().zone());
    }

    /**
     * Returns the time until a target may be sent a request that only its rate limit or a pause keeps from it; empty if
     * there is none.
     *
     * @param excluded ids of targets that must not be used, unless all are excluded and the caller has to come back
     */
    Optional<Duration> waitForLimit(Set<String> excluded) {
        List<TargetRecord> usable = context.view().directory().usable(name);
        boolean othersLeft = usable.stream().anyMatch(target -> !excluded.contains(target.id()));
        return usable.stream()
                .filter(target -> !othersLeft || !excluded.contains(target.id()))
                .map(limits::waitTime)
                .filter(wait -> !wait.isZero())
                .min(Comparator.naturalOrder());
    }

    /** Returns the availability zone of the target expected to cache the prompt's shared prefix; null if unknown. */
    @Nullable
    String preferredZone(PromptPrefix prompt) {
        return EnginePlacement.preferred(context.view().directory().usable(name), prompt)
                .map(TargetRecord::zone)
                .orElse(null);
    }

    private boolean withinColdLimit(PoolSpec spec, TargetTracker state, int gateways, long now) {
        if (spec.coldRequestsPerSecond() <= 0 || !state.cold(now)) {
            return true;
        }
        double limit = spec.coldRequestsPerSecond() * context.settings().coldFactor()
                + context.settings().coldSlack();
        return state.recentSends(now) + 1 <= limit / gateways;
    }

    private TargetTracker state(TargetRecord target, long now) {
        TargetTracker known = states.get(target.id());
        if (known == null || !known.target().sameIncarnation(target)) {
            TargetTracker fresh = new TargetTracker(target, loads.load(target), now);
            states.put(target.id(), fresh);
            return fresh;
        }
        if (known.target() != target) {
            known.update(target, now);
        }
        return known;
    }
}
