package io.masticfold.core.directory;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Holds the availability zones that operators have taken out of service. A store that was restored from a copy may lack
 * a zone that was taken out afterwards, until the operator writes it again; such a zone stays out meanwhile. Not safe
 * for use by several threads.
 */
public final class DisabledZones {

    /** Time after a restore for which a zone that the copy lacks stays out of service, unless it is written again. */
    static final Duration REWRITE_GRACE = Duration.ofSeconds(30);

    private static final long NO_EXPIRY = Long.MAX_VALUE;

    private final TimeSource time;
    private final Map<String, Long> expiryByZone = new HashMap<>();

    /** Creates an empty set. */
    public DisabledZones(TimeSource time) {
        this.time = time;
    }

    /**
     * Replaces all zones by a complete list.
     *
     * @param restored whether the list was read from a store restored from a copy since the last list
     */
    public void replaceAll(Collection<String> zones, boolean restored) {
        if (restored) {
            long expiry = time.nanoTime() + REWRITE_GRACE.toNanos();
            expiryByZone.replaceAll((_zone, before) -> before == NO_EXPIRY ? expiry : before);
        } else {
            expiryByZone.values().removeIf(expiry -> expiry == NO_EXPIRY);
        }
        zones.forEach(this::add);
    }

    /** Takes a zone out of service. */
    public void add(String zone) {
        expiryByZone.put(zone, NO_EXPIRY);
    }

    /** Returns a zone to service. */
    public void remove(String zone) {
        expiryByZone.remove(zone);
    }

    /** Returns zones that were not written again after a restore to service; returns whether there were any. */
    public boolean expire() {
        long now = time.nanoTime();
        return expiryByZone.values().removeIf(expiry -> expiry != NO_EXPIRY && now - expiry >= 0);
    }

    /** Returns the zones out of service. */
    public Set<String> zones() {
        return Set.copyOf(expiryByZone.keySet());
    }
}
