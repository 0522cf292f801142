package io.masticfold.gateway.rollout;

import io.masticfold.core.rollout.RolloutState;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Decides when this gateway writes the state of an order to the store. Not thread-safe. */
final class RolloutWriter {

    /** Interval between two writes of the same state, longer than a write takes whose answer arrives. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(1200);

    /** Gateways that may write before this one; later ones write at the same time, and the store takes one of them. */
    private static final int MAX_TURNS = 3;

    private final RolloutStore store;
    private final String node;
    private final Map<String, Long> wantedNanos = new HashMap<>();

    RolloutWriter(RolloutStore store, String node) {
        this.store = store;
        this.node = node;
    }

    /**
     * Writes the state that this gateway wants. The first by name among those in reach writes at once; the others wait
     * in turn, in case the first cannot reach the store.
     *
     * @param reachablePeers names of the gateways in reach, besides this one
     */
    void writeIfDue(Rollout rollout, Collection<String> reachablePeers, long now) {
        String pool = rollout.order().pool();
        RolloutState stored = rollout.order().state();
        RolloutState wanted = rollout.state();
        if (wanted == stored || stored.last()) {
            wantedNanos.remove(pool);
            return;
        }
        long earlier = reachablePeers.stream()
                .filter(peer -> peer.compareTo(node) < 0)
                .limit(MAX_TURNS)
                .count();
        long due = wantedNanos.computeIfAbsent(pool, _pool -> now) + earlier * WRITE_INTERVAL.toNanos();
        if (now - due >= 0 && store.write(rollout.order(), wanted)) {
            wantedNanos.put(pool, now + WRITE_INTERVAL.toNanos());
        }
    }
}
