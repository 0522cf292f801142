package io.masticfold.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the groups of suspects of one kind that are quarantined. No group covers another. Not thread-safe. */
final class Quarantine {

    private final int maxGroups;
    private final Map<String, Verdict> verdicts;

    /** Creates an empty quarantine that drops the group used least recently when it is full. */
    Quarantine(int maxGroups) {
        this.maxGroups = maxGroups;
        this.verdicts = new LeastRecentlyUsedMap<>(maxGroups);
    }

    /**
     * Adds a group in place of those that it covers.
     *
     * @param ends ends known here that led to the verdict; zero if others report it
     * @return whether it was not covered
     */
    boolean add(SuspectGroup group, int ends) {
        if (covered(group)) {
            return false;
        }
        verdicts.values().removeIf(verdict -> group.covers(verdict.group()));
        verdicts.put(group.name(), new Verdict(group, ends));
        return true;
    }

    boolean covered(SuspectGroup group) {
        return verdicts.values().stream().anyMatch(verdict -> verdict.group().covers(group));
    }

    boolean full() {
        return verdicts.size() >= maxGroups;
    }

    /** Returns the name of a group all of whose members are among the given names, and counts that as a use of it. */
    Optional<String> find(Collection<String> names) {
        if (verdicts.isEmpty()) {
            return Optional.empty();
        }
        for (String name : names) {
            if (verdicts.get(name) != null) {
                return Optional.of(name);
            }
        }
        Set<String> held = new HashSet<>(names);
        Optional<String> found = verdicts.entrySet().stream()
                .filter(entry -> !entry.getValue().group().single()
                        && held.containsAll(entry.getValue().group().members()))
                .map(Map.Entry::getKey)
                .findFirst();
        found.ifPresent(verdicts::get);
        return found;
    }

    /** Returns whether a suspect is quarantined by itself. */
    boolean contains(String name) {
        return verdicts.containsKey(name);
    }

    boolean remove(String name) {
        return verdicts.remove(name) != null;
    }

    Set<String> names() {
        return Set.copyOf(verdicts.keySet());
    }

    /** Returns the number of ends that led to the verdict on a group, or zero if others reported it. */
    int ends(String name) {
        Verdict verdict = verdicts.get(name);
        return verdict == null ? 0 : verdict.ends();
    }

    /**
     * Takes suspects that are sound out of the groups, those that have no other member apart.
     *
     * @return the names of the former groups, each with that of the group in its place
     */
    Map<String, String> narrow(Collection<String> sound) {
        List<Verdict> larger = new ArrayList<>();
        for (Verdict verdict : verdicts.values()) {
            Set<String> members = verdict.group().members();
            if (members.stream().anyMatch(sound::contains) && !sound.containsAll(members)) {
                larger.add(verdict);
            }
        }
        Map<String, String> replaced = new LinkedHashMap<>();
        for (Verdict verdict : larger) {
            SuspectGroup smaller = verdict.group().without(sound);
            verdicts.remove(verdict.group().name());
            add(smaller, verdict.ends());
            replaced.put(verdict.group().name(), smaller.name());
        }
        return replaced;
    }

    /** Removes the groups of which all members are sound; returns their names. */
    Set<String> removeCleared(Collection<String> sound) {
        Set<String> removed = new HashSet<>();
        verdicts.forEach((name, verdict) -> {
            if (sound.containsAll(verdict.group().members())) {
                removed.add(name);
            }
        });
        removed.forEach(verdicts::remove);
        return removed;
    }

    private record Verdict(SuspectGroup group, int ends) {}
}
