package io.masticfold.core.config;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration in force in a process: one immutable snapshot behind an atomic reference. Safe for use by
 * several threads.
 */
public final class ConfigReplica {

    private final AtomicReference<ConfigSnapshot> current = new AtomicReference<>(ConfigSnapshot.EMPTY);
    private final AtomicReference<@Nullable Confirmation> confirmation = new AtomicReference<>();
    private final AtomicReference<@Nullable Long> contactNanos = new AtomicReference<>();
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();

    /** Returns the snapshot in force. */
    public ConfigSnapshot snapshot() {
        return current.get();
    }

    /**
     * Merges objects and puts the result in force.
     *
     * @param objects objects from the store or a peer
     * @return whether anything was newer
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
     * Records that the object API, directly or through a peer, was known to have a configuration at some time.
     *
     * @param digest digest of that configuration
     * @param atNanos the time, in nanoseconds of the monotonic clock
     */
    public void confirm(long digest, long atNanos) {
        Confirmation fresh = new Confirmation(digest, atNanos);
        confirmation.updateAndGet(known -> known == null ? fresh : known.merge(fresh));
    }

    /**
     * Returns how long ago the configuration in force was last known to be the object API's own.
     *
     * @param nowNanos current time, in nanoseconds of the monotonic clock
     * @return the age, in nanoseconds; empty if the configuration in force was never confirmed
     */
    public OptionalLong confirmedAgeNanos(long nowNanos) {
        Confirmation known = confirmation.get();
        if (known == null || known.digest() != snapshot().digest()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(0, nowNanos - known.atNanos()));
    }

    /**
     * Records a completed round trip with a peer. Whatever the peer had sent before it answered has been merged,
     * because a link keeps its order; so the configuration in force is at least as new as the peer's was at that time.
     *
     * @param askedNanos time at which the round trip began, in nanoseconds of the monotonic clock
     */
    public void contacted(long askedNanos) {
        contactNanos.updateAndGet(known -> known == null || askedNanos - known > 0 ? askedNanos : known);
    }

    /**
     * Returns how long ago the latest completed round trip with a peer began. After a pause of the process the age
     * shows that changes may wait unread in its connections.
     *
     * @param nowNanos current time, in nanoseconds of the monotonic clock
     * @return the age, in nanoseconds; empty if the replica is not fed by peers
     */
    public OptionalLong contactAgeNanos(long nowNanos) {
        Long known = contactNanos.get();
        return known == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, nowNanos - known));
    }

    /** Adds a listener that is called after each change, on the merging thread; snapshots may arrive out of order. */
    public void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }
}
