package io.masticfold.core.config;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration that a process currently uses, as an immutable snapshot behind an atomic reference. This
 * class is thread-safe.
 */
public final class ConfigReplica {

    private final AtomicReference<ConfigSnapshot> current = new AtomicReference<>(ConfigSnapshot.EMPTY);
    private final AtomicReference<@Nullable Confirmation> confirmation = new AtomicReference<>();
    private final AtomicReference<@Nullable Long> latestRoundTripNanos = new AtomicReference<>();
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();

    /** Returns the current snapshot. */
    public ConfigSnapshot snapshot() {
        return current.get();
    }

    /**
     * Merges objects into the current snapshot and notifies the listeners of a change.
     *
     * @param objects objects received from the store or a peer
     * @return whether any object was newer than the current snapshot
     */
    public boolean merge(Collection<ConfigObject> objects) {
        ConfigSnapshot before;
        ConfigSnapshot after;
        do {
            before = current.get();
            after = before.merge(objects);
            if (after == before) {
                return false;
            }
        } while (!current.compareAndSet(before, after));
        ConfigSnapshot inForce = after;
        listeners.forEach(listener -> listener.accept(inForce));
        return true;
    }

    /**
     * Records that the object API is known, directly or through a peer, to have had a configuration at a given time.
     *
     * @param digest digest of that configuration
     * @param atNanos that time on the monotonic clock, in nanoseconds
     */
    public void confirm(long digest, long atNanos) {
        Confirmation fresh = new Confirmation(digest, atNanos);
        confirmation.updateAndGet(known -> known == null ? fresh : known.merge(fresh));
    }

    /**
     * Returns the time since the object API was last known to have the current configuration.
     *
     * @param nowNanos current time on the monotonic clock, in nanoseconds
     * @return the age of the last confirmation, in nanoseconds; empty if the current configuration was never confirmed
     */
    public OptionalLong confirmedAgeNanos(long nowNanos) {
        Confirmation known = confirmation.get();
        if (known == null || known.digest() != snapshot().digest()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(0, nowNanos - known.atNanos()));
    }

    /**
     * Records a completed round trip with a peer. A link preserves the order of messages, so everything that the peer
     * sent before its reply has been merged, and the current configuration is at least as recent as the peer's
     * configuration was at the start of the round trip.
     *
     * @param startNanos start of the round trip on the monotonic clock, in nanoseconds
     */
    public void recordRoundTrip(long startNanos) {
        latestRoundTripNanos.updateAndGet(known -> known == null || startNanos - known > 0 ? startNanos : known);
    }

    /**
     * Returns the time since the start of the latest completed round trip with a peer. After a pause of the process, a
     * high age indicates that changes may be waiting unread in its connections.
     *
     * @param nowNanos current time on the monotonic clock, in nanoseconds
     * @return the age, in nanoseconds; empty if no round trip with a peer has completed
     */
    public OptionalLong roundTripAgeNanos(long nowNanos) {
        Long known = latestRoundTripNanos.get();
        return known == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, nowNanos - known));
    }

    /** Adds a listener that is called on the merging thread after each change; snapshots may arrive out of order. */
    public void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }
}
