package io.masticfold.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Immutable snapshot of the known targets and of those that accept new requests. */
public final class TargetDirectory {

    /** A directory without targets. */
    public static final TargetDirectory EMPTY = new TargetDirectory(List.of(), Set.of());

    private final Map<String, TargetRecord> byId;
    private final Map<String, List<TargetRecord>> usableByPool;
    private final Set<String> disabledZones;

    /**
     * Creates a directory.
     *
     * @param targets all known targets
     * @param disabledZones availability zones that operators have taken out of service
     */
    public TargetDirectory(Collection<TargetRecord> targets, Set<String> disabledZones) {
        this.byId = new HashMap<>();
        this.usableByPool = new HashMap<>();
        this.disabledZones = Set.copyOf(disabledZones);
        targets.stream().sorted((a, b) -> a.id().compareTo(b.id())).forEach(this::add);
    }

    private void add(TargetRecord target) {
        byId.put(target.id(), target);
        if (!target.draining() && !disabledZones.contains(target.zone())) {
            usableByPool
                    .computeIfAbsent(target.pool(), _pool -> new ArrayList<>())
                    .add(target);
        }
    }

    /** Returns the targets of a pool that may receive new requests, sorted by id. */
    public List<TargetRecord> usable(String pool) {
        return usableByPool.getOrDefault(pool, List.of());
    }

    /** Returns all known targets of a pool, those that may receive no new requests included. */
    public List<TargetRecord> all(String pool) {
        return byId.values().stream()
                .filter(target -> target.pool().equals(pool))
                .toList();
    }

    /** Returns whether a target may receive new requests. */
    public boolean usable(TargetRecord target) {
        TargetRecord known = byId.get(target.id());
        return known != null
                && !known.draining()
                && !disabledZones.contains(known.zone())
                && known.sameIncarnation(target);
    }

    /** Returns the target of an id. */
    public Optional<TargetRecord> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the software versions of all known targets of each pool, those that accept no new requests included. */
    public Map<String, Set<String>> softwareVersions() {
        Map<String, Set<String>> versions = new HashMap<>();
        byId.values().forEach(target -> versions.computeIfAbsent(target.pool(), _pool -> new HashSet<>())
                .add(target.softwareVersion()));
        return versions;
    }

    /** Returns the number of known targets. */
    public int size() {
        return byId.size();
    }
}
