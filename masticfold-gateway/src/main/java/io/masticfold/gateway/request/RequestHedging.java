package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.hedge.HedgeConditions;
import io.masticfold.core.hedge.HedgePolicy;
import io.masticfold.core.shutdown.ShutdownPhase;
import io.masticfold.gateway.context.GatewayContext;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Holds the policy of each route for second sends, if the settings allow any. Only routes whose answers are buffered
 * and whose requests may be repeated have one. Used by one thread.
 */
final class RequestHedging {

    private final GatewayContext context;
    private final Map<String, HedgePolicy> policies = new HashMap<>();

    RequestHedging(GatewayContext context) {
        this.context = context;
    }

    private Optional<HedgePolicy> policy(RoutedRequest routed) {
        double ratio = context.settings().hedgeRatio();
        if (ratio <= 0 || routed.route().kind() != RequestKind.SAFE) {
            return Optional.empty();
        }
        return Optional.of(policies.computeIfAbsent(
                routed.route().name(),
                _route -> new HedgePolicy(
                        context.scheduler(), ratio, context.settings().retryWindow())));
    }

    /** Records the first send of a request; returns when a second one is due, empty if there will be none. */
    Optional<Duration> recordSend(RoutedRequest routed) {
        return policy(routed).flatMap(policy -> {
            policy.recordSend();
            return policy.delay();
        });
    }

    /** Records the time from a send to its complete answer. */
    void recordAnswer(RoutedRequest routed, Duration answerTime) {
        policy(routed).ifPresent(policy -> policy.recordAnswer(answerTime));
    }

    /**
     * Returns the target of a second send, and charges the limits; empty if none may be made now.
     *
     * @param first target of the send in progress
     * @param sends sends of the request so far
     * @param remaining time until the request's deadline
     * @param choose chooses among the targets whose ids are not given
     */
    Optional<TargetTracker> second(
            RequestServices services,
            RoutedRequest routed,
            TargetRecord first,
            int sends,
            Duration remaining,
            Function<Set<String>, Optional<TargetTracker>> choose) {
        TargetPool pool = services.targets().pool(routed.pool());
        PoolLoad load = pool.load();
        HedgeConditions conditions = new HedgeConditions(
                services.shutdown().phase() != ShutdownPhase.RUNNING,
                services.quarantine().find(routed.suspects()).isPresent()
                        || !services.quarantine().allowsAnotherTarget(routed.suspects()),
                sends,
                routed.route().maxAttempts(),
                load.slots(),
                load.inFlight(),
                remaining);
        Optional<TargetTracker> second = choose.apply(Set.of(first.id())).filter(_target -> policy(routed)
                .filter(policy -> policy.permit(conditions, pool.budget()))
                .isPresent());
        second.ifPresent(_target -> context.telemetry().count("hedged"));
        return second;
    }

    /** Forgets the routes that the configuration does not have any more. */
    void retainRoutes(Set<String> routes) {
        policies.keySet().retainAll(routes);
    }
}
