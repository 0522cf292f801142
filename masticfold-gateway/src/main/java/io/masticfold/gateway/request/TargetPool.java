package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.placement.EnginePlacement;
import io.masticfold.core.placement.LeastLoadedPlacement;
import io.masticfold.core.placement.PromptPrefix;
import io.masticfold.core.placement.TargetLoadView;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.limit.TargetRateLimits;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Selects targets of one pool and tracks the state of each. Used by one thread. */
final class TargetPool {

    private final GatewayContext context;
    private final TargetRateLimits limits;
    private final String name;
    private final RetryBudget budget;
    private final Map<String, TargetTracker> states = new HashMap<>();

    TargetPool(GatewayContext context, TargetRateLimits limits, String name, RetryBudget budget) {
        this.context = context;
        this.limits = limits;
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
     * @param prompt shared prefix of the request's prompt
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     * @param excluded tells the targets that must not be used
     * @param gateways number of gateways that share the rate limit of a cold target
     */
    Optional<TargetTracker> choose(
            PoolSpec spec,
            PromptPrefix prompt,
            Map<String, Long> resultBytes,
            Predicate<TargetRecord> excluded,
            int gateways) {
        long now = context.scheduler().nanoTime();
        List<TargetRecord> usable = context.view().directory().usable(name);
        List<TargetLoadView> candidates = usable.stream()
                .filter(excluded.negate())
                .map(target -> state(target, now))
                .filter(state -> withinColdLimit(spec, state, gateways, now))
                .filter(state -> limits.waitTime(state.target()).isZero())
                .map(state -> state.view(
                        state.target().zone().equals(context.settings().zone()), now))
                .toList();
        if (states.size() > usable.size()) {
            states.values()
                    .removeIf(state ->
                            context.view().directory().find(state.target().id()).isEmpty());
        }
        Optional<TargetLoadView> choice = spec.engine() == null
                ? LeastLoadedPlacement.choose(candidates)
                : EnginePlacement.choose(candidates, prompt, resultBytes);
        choice.ifPresent(view -> limits.recordSend(view.target()));
        return choice.map(view -> states.get(view.target().id()));
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
            TargetTracker fresh = new TargetTracker(target, now);
            states.put(target.id(), fresh);
            return fresh;
        }
        if (known.target() != target) {
            known.update(target, now);
        }
        return known;
    }
}
