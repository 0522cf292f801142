package io.masticfold.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the targets that may be given work at one moment. Immutable. */
public final class TargetDirectory {

    /** A directory without targets. */
    public static final TargetDirectory EMPTY = new TargetDirectory(List.of(), Set.of());

    private final Map<String, TargetRecord> byId;
    private final Map<String, List<TargetRecord>> usableByPool;
    private final Set<String> zonesOut;

    /**
     * Creates a directory.
     *
     * @param targets all known targets
     * @param zonesOut availability zones that operators have taken out
     */
    public TargetDirectory(Collection<TargetRecord> targets, Set<String> zonesOut) {
        this.byId = new HashMap<>();
        this.usableByPool = new HashMap<>();
        this.zonesOut = Set.copyOf(zonesOut);
        targets.stream().sorted((a, b) -> a.id().compareTo(b.id())).forEach(this::add);
    }

    private void add(TargetRecord target) {
        byId.put(target.id(), target);
        if (!target.leaving() && !zonesOut.contains(target.zone())) {
            usableByPool
                    .computeIfAbsent(target.pool(), _pool -> new ArrayList<>())
                    .add(target);
        }
    }

    /** Returns the targets of a pool that may be given new work, sorted by id. */
    public List<TargetRecord> usable(String pool) {
        return usableByPool.getOrDefault(pool, List.of());
    }

    /** Returns whether a target may be given new work. */
    public boolean usable(TargetRecord target) {
        TargetRecord known = byId.get(target.id());
        return known != null && !known.leaving() && !zonesOut.contains(known.zone()) && known.sameIncarnation(target);
    }

    /** Finds a target. */
    public Optional<TargetRecord> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the number of known targets. */
    public int size() {
        return byId.size();
    }
}
