package io.masticfold.gateway.rollout;

import io.masticfold.core.placement.ServiceTimeModel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Time that answers of the old version usually take, by route. Not thread-safe. */
final class UsualTimes {

    /** Factor over the usual time above which an answer counts as slow; bad versions are several times slower. */
    private static final double SLOW_FACTOR = 2.5;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, ServiceTimeModel> models = new HashMap<>();

    /** Returns whether an answer that takes this time is slow; false until there have been enough answers. */
    boolean slow(String route, long tokens, Duration took) {
        ServiceTimeModel usual = models.get(route);
        return usual != null && usual.known() && millis(took) > SLOW_FACTOR * usual.millis(tokens);
    }

    /** Adds an answer of the old version. */
    void record(String route, long tokens, Duration took) {
        models.computeIfAbsent(route, _route -> new ServiceTimeModel()).record(tokens, millis(took));
    }

    private static double millis(Duration took) {
        return took.toNanos() / NANOS_PER_MILLI;
    }
}
