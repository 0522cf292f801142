package io.masticfold.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts of requests by gateway, software version and route. Each gateway sends totals since it first saw the order,
 * so that a later message replaces an earlier one, and nothing is counted twice. Used by one thread.
 */
public final class RolloutEvidence {

    private final Map<String, Map<VersionRoute, VersionCounts>> bySource = new HashMap<>();

    /**
     * Replaces what a gateway has told.
     *
     * @param source gateway and its start; a gateway that has started anew is another source
     */
    public void replace(String source, Map<VersionRoute, VersionCounts> counts) {
        bySource.put(source, Map.copyOf(counts));
    }

    /** Adds to the counts of a gateway. */
    public void add(String source, VersionRoute key, VersionCounts more) {
        Map<VersionRoute, VersionCounts> counts = new HashMap<>(bySource.getOrDefault(source, Map.of()));
        counts.merge(key, more, VersionCounts::plus);
        bySource.put(source, counts);
    }

    /** Returns the counts of a gateway. */
    public Map<VersionRoute, VersionCounts> of(String source) {
        return bySource.getOrDefault(source, Map.of());
    }

    /** Returns the sums over all gateways, for the new version or for the others, by route. */
    public Map<String, VersionCounts> byRoute(String newVersion, boolean isNew) {
        Map<String, VersionCounts> sums = new HashMap<>();
        bySource.values()
                .forEach(counts -> counts.forEach((key, value) -> {
                    if (key.version().equals(newVersion) == isNew) {
                        sums.merge(key.route(), value, VersionCounts::plus);
                    }
                }));
        return sums;
    }

    /** A software version and a route. */
    public record VersionRoute(String version, String route) {}
}
