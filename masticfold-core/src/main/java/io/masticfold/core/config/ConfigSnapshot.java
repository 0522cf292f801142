package io.masticfold.core.config;

import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.Zone;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Holds an immutable view of the configuration, with the highest known version of each object. */
public final class ConfigSnapshot {

    /** The empty snapshot. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(Map.of());

    private final Map<ObjectKey, ConfigObject> objects;
    private final Map<String, Contract> contractsByKey;
    private final Map<String, List<Target>> targetsByPool;
    private final long revision;
    private final long digest;

    private ConfigSnapshot(Map<ObjectKey, ConfigObject> objects) {
        this.objects = objects;
        this.contractsByKey = live(objects, Contract.class)
                .sorted(Comparator.comparing(Contract::name))
                .collect(Collectors.toUnmodifiableMap(
                        Contract::keySha256, contract -> contract, (first, _second) -> first));
        this.targetsByPool = live(objects, Target.class)
                .sorted(Comparator.comparing(Target::name))
                .collect(Collectors.collectingAndThen(
                        Collectors.groupingBy(Target::pool, Collectors.toUnmodifiableList()), Map::copyOf));
        this.revision =
                objects.values().stream().mapToLong(ConfigObject::version).max().orElse(0);
        this.digest = objects.values().stream()
                .mapToLong(object -> ConfigDigestSupport.hash(object.key(), object.version()))
                .sum();
    }

    private static <T extends ConfigSpec> Stream<T> live(Map<ObjectKey, ConfigObject> objects, Class<T> type) {
        return objects.values().stream()
                .map(ConfigObject::spec)
                .filter(type::isInstance)
                .map(type::cast);
    }

    /**
     * Merges objects into this snapshot. The merge is commutative, associative and idempotent, so the result does not
     * depend on the order of arrival, and no object reverts to an earlier version.
     *
     * @param incoming objects received from the store or a peer
     * @return the merged snapshot; this snapshot if no object was newer
     */
    public ConfigSnapshot merge(Collection<ConfigObject> incoming) {
        Map<ObjectKey, ConfigObject> merged = null;
        for (ConfigObject object : incoming) {
            ConfigObject known = (merged == null ? objects : merged).get(object.key());
            if (known == null || object.version() > known.version()) {
                if (merged == null) {
                    merged = new HashMap<>(objects);
                }
                merged.put(object.key(), object);
            }
        }
        return merged == null ? this : new ConfigSnapshot(Map.copyOf(merged));
    }

    /** Returns the highest version of all objects, 0 if the snapshot is empty. */
    public long revision() {
        return revision;
    }

    /** Returns a digest of the keys and versions; equal snapshots have equal digests. */
    public long digest() {
        return digest;
    }

    /** Returns all objects, including tombstones of deleted ones. */
    public Collection<ConfigObject> objects() {
        return objects.values();
    }

    /** Finds an object or its tombstone. */
    public Optional<ConfigObject> object(ObjectKey key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** Finds the contract by the SHA-256 of the caller key, in lower-case hexadecimal digits. */
    public Optional<Contract> contractByKey(String keySha256) {
        return Optional.ofNullable(contractsByKey.get(keySha256));
    }

    /** Returns the live contracts. */
    public Collection<Contract> contracts() {
        return contractsByKey.values();
    }

    /** Finds a live pipeline. */
    public Optional<Pipeline> pipeline(String name) {
        return find(ObjectKind.PIPELINE, name, Pipeline.class);
    }

    /** Finds a live availability zone. */
    public Optional<Zone> zone(String name) {
        return find(ObjectKind.ZONE, name, Zone.class);
    }

    /** Finds a live target. */
    public Optional<Target> target(String name) {
        return find(ObjectKind.TARGET, name, Target.class);
    }

    /** Returns the live targets of a pool, ordered by name. */
    public List<Target> targetsInPool(String pool) {
        return targetsByPool.getOrDefault(pool, List.of());
    }

    /** Returns all live targets. */
    public List<Target> targets() {
        return targetsByPool.values().stream().flatMap(List::stream).toList();
    }

    /** Returns whether a target and its availability zone accept new work. */
    public boolean acceptsNewWork(Target target) {
        return target.state().acceptsNewWork()
                && zone(target.zone())
                        .map(zone -> zone.state().acceptsNewWork())
                        .orElse(false);
    }

    private <T extends ConfigSpec> Optional<T> find(ObjectKind kind, String name, Class<T> type) {
        return object(new ObjectKey(kind, name)).map(ConfigObject::spec).map(type::cast);
    }
}
