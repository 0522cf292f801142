package io.masticfold.gateway.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Holds a software version back that has appeared beside others, for as long as an order for it may not be known here.
 * Not thread-safe.
 */
final class VersionHold {

    /** Age up to which what was read from the store is taken for current; within it, an order is known everywhere. */
    static final Duration HOLD = Duration.ofSeconds(4);

    private final Map<String, Map<String, Long>> firstSeen = new HashMap<>();

    /** Records the versions of all pools; those of a pool that is seen for the first time are not held back. */
    void observe(Map<String, Set<String>> versionsByPool, long nowNanos) {
        versionsByPool.forEach((pool, versions) -> {
            Map<String, Long> known = firstSeen.get(pool);
            if (known == null) {
                known = new HashMap<>();
                firstSeen.put(pool, known);
                for (String version : versions) {
                    known.put(version, nowNanos - HOLD.toNanos());
                }
            }
            for (String version : versions) {
                known.putIfAbsent(version, nowNanos);
            }
            known.keySet().retainAll(versions);
        });
        firstSeen.keySet().retainAll(versionsByPool.keySet());
    }

    /** Returns the versions of a pool that may serve; empty if none of its versions is held back. */
    Set<String> served(String pool, long nowNanos) {
        Map<String, Long> known = firstSeen.getOrDefault(pool, Map.of());
        Set<String> served = new HashSet<>();
        known.forEach((version, seen) -> {
            if (nowNanos - seen >= HOLD.toNanos()) {
                served.add(version);
            }
        });
        return served;
    }
}
