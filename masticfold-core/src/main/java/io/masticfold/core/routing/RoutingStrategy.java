package io.masticfold.core.routing;

import java.util.Collections;
import java.util.Comparator;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/** Strategies for choosing a target; all but {@link #EXPECTED_TIME} are baselines for benchmarks. */
public enum RoutingStrategy {
    /** Zone preference, prefix affinity and power of two choices by expected time. */
    EXPECTED_TIME {
        @Override
        RoutingPolicy newPolicy(RouterSettings settings, RandomGenerator random) {
            return new ExpectedTimePolicy(settings, random);
        }
    },
    /** Each candidate in turn. */
    ROUND_ROBIN {
        @Override
        RoutingPolicy newPolicy(RouterSettings _settings, RandomGenerator _random) {
            AtomicInteger next = new AtomicInteger();
            return (candidates, _request) -> candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
        }
    },
    /** The candidate with the fewest in-flight attempts of this entry. */
    LEAST_IN_FLIGHT {
        @Override
        RoutingPolicy newPolicy(RouterSettings _settings, RandomGenerator _random) {
            return (candidates, _request) -> Collections.min(
                    candidates,
                    Comparator.comparingInt(candidate -> candidate.stats().localInFlight()));
        }
    };

    abstract RoutingPolicy newPolicy(RouterSettings settings, RandomGenerator random);
}
