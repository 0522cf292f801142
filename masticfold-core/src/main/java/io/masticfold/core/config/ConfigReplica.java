package io.masticfold.core.config;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the configuration in force in a process: one immutable snapshot behind an atomic reference. Safe for use by
 * several threads.
 */
public final class ConfigReplica {

    private final AtomicReference<ConfigSnapshot> current = new AtomicReference<>(ConfigSnapshot.EMPTY);
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

    /** Adds a listener that is called after each change, on the merging thread; snapshots may arrive out of order. */
    public void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }
}
