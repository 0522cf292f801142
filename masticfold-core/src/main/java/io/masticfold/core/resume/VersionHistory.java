package io.masticfold.core.resume;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds, for each pool, the software versions that have served within a window, and so may have begun the streams that
 * callers can still take up. Not thread-safe.
 */
public final class VersionHistory {

    private final TimeSource time;
    private final Map<String, Map<String, Long>> lastServedNanos = new HashMap<>();

    /** Creates an empty history. */
    public VersionHistory(TimeSource time) {
        this.time = time;
    }

    /**
     * Records that versions serve a pool now, or may have served it until now.
     *
     * @return whether one of them was not in the history
     */
    public boolean record(String pool, Collection<String> versions) {
        Map<String, Long> known = lastServedNanos.computeIfAbsent(pool, _key -> new TreeMap<>());
        boolean added = !known.keySet().containsAll(versions);
        versions.forEach(version -> known.put(version, time.nanoTime()));
        return added;
    }

    /**
     * Removes the versions that have not served within a window.
     *
     * @return whether any was removed
     */
    public boolean expire(Duration window) {
        long oldest = time.nanoTime() - window.toNanos();
        boolean removed = false;
        for (Map<String, Long> versions : lastServedNanos.values()) {
            removed |= versions.values().removeIf(nanos -> nanos - oldest < 0);
        }
        lastServedNanos.values().removeIf(Map::isEmpty);
        return removed;
    }

    /** Returns the versions of a pool, sorted. */
    public Set<String> versions(String pool) {
        return new TreeSet<>(lastServedNanos.getOrDefault(pool, Map.of()).keySet());
    }

    /** Returns whether more than one version may have begun the streams of a pool. */
    public boolean mixed(String pool) {
        return lastServedNanos.getOrDefault(pool, Map.of()).size() > 1;
    }

    /** Returns the versions of all pools. */
    public Map<String, Set<String>> versions() {
        Map<String, Set<String>> versions = new TreeMap<>();
        lastServedNanos.keySet().forEach(pool -> versions.put(pool, versions(pool)));
        return versions;
    }
}
