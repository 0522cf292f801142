package io.masticfold.platform.store;

import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.time.Scheduler;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps a replica of the configuration up to date from the object API: lists each configuration kind, then watches it.
 * Each kind is watched on its own, so that writes of claims wake no watch. An outage, a slow answer, a compaction or a
 * revision that goes back leaves the configuration in force as it is.
 */
public final class ConfigSource {

    private final List<KindWatch> watches;

    /**
     * Creates a source.
     *
     * @param store the object API
     * @param codec decodes specifications
     * @param replica receives the objects
     * @param scheduler schedules the next try after a failure
     * @param random spreads the tries of several processes
     */
    public ConfigSource(
            ObjectStore store, SpecCodec codec, ConfigReplica replica, Scheduler scheduler, RandomGenerator random) {
        ObjectDecoder decoder = new ObjectDecoder(codec);
        this.watches = Arrays.stream(ObjectKind.values())
                .map(kind -> new KindWatch(kind, store, decoder, replica, scheduler, random))
                .toList();
    }

    /** Starts listing and watching. */
    public void start() {
        watches.forEach(KindWatch::start);
    }

    /** Stops watching; the replica stays as it is. */
    public void stop() {
        watches.forEach(KindWatch::stop);
    }

    /** Returns whether every kind has been listed at least once. */
    public boolean loaded() {
        return watches.stream().allMatch(KindWatch::loaded);
    }

    /** Returns whether the last answer for every kind arrived without a failure. */
    public boolean reachable() {
        return watches.stream().allMatch(KindWatch::reachable);
    }
}
