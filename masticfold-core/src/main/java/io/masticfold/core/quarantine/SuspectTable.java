package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Holds the suspects of one kind. A suspect is quarantined when several targets, one after the other, ended while they
 * began answers with it, and no answer with it went on since. One with which answers began before needs more ends than
 * coincidence would explain, given how often targets end. Not thread-safe.
 */
final class SuspectTable {

    /** Ends after which a suspect is quarantined with which no answer has ever begun. */
    static final int ENDS_OF_UNKNOWN_SUSPECT = 3;

    /** Smallest number of ends after which a suspect is quarantined with which answers began earlier. */
    static final int MIN_ENDS_OF_CLEARED_SUSPECT = 5;

    /** Largest probability that as many ends in a row of a suspect with which answers began are coincidence. */
    static final double MAX_COINCIDENCE = 1e-6;

    /** Age above which an end is no evidence any more. */
    static final Duration MAX_EVIDENCE_AGE = Duration.ofMinutes(10);

    /** Time after an answer has begun during which a quarantine that others report for the suspect is outdated. */
    static final Duration CLEARANCE_PRECEDENCE = Duration.ofSeconds(2);

    /** Largest numbers of cleared suspects and ends that are remembered; callers choose the suspects. */
    static final int MAX_CLEARED = 8192;

    static final int MAX_EXPLAINED_ENDS = 1024;
    static final int MAX_ENDS_PER_SUSPECT = 64;

    private final SuspectKind kind;
    private final TimeSource time;
    private final Map<String, SuspectEvidence> suspects;
    private final Map<String, Long> clearedNanos = new LeastRecentlyUsedMap<>(MAX_CLEARED);
    private final Quarantine quarantine;
    private final EndShare endShare;
    private final Map<String, Boolean> explainedEnds = new LeastRecentlyUsedMap<>(MAX_EXPLAINED_ENDS);

    SuspectTable(SuspectKind kind, TimeSource time) {
        this.kind = kind;
        this.time = time;
        this.suspects = new LeastRecentlyUsedMap<>(kind.maxSuspects());
        this.quarantine = new Quarantine(kind.maxQuarantined());
        this.endShare = new EndShare(time);
    }

    /**
     * Records that a target ended while it began answers. Ends that something else explains accuse nobody.
     *
     * @return the name of the suspect or group that is quarantined from now on because of it; empty if none is
     */
    Set<String> recordEnd(TargetEnd end) {
        if (explainedEnds.containsKey(end.target())) {
            return Set.of();
        }
        expire();
        Set<String> accused = end.suspects(kind);
        for (String name : accused) {
            if (clearedNanos.containsKey(name)) {
                endShare.recordEnd();
            }
            suspects.computeIfAbsent(name, _key -> new SuspectEvidence()).add(end);
        }
        return quarantineMostAccused(accused);
    }

    /** Quarantines the suspects with the most ends together: nothing tells yet which of them is the cause. */
    private Set<String> quarantineMostAccused(Set<String> names) {
        Map<String, Integer> accused = new HashMap<>();
        for (String name : names) {
            int ends = ends(name);
            if (ends >= endsUntilQuarantine(name)) {
                accused.put(name, ends);
            }
        }
        if (accused.keySet().stream().anyMatch(this::neverCleared)) {
            accused.keySet().removeIf(name -> !neverCleared(name));
        }
        int most = accused.values().stream().max(Comparator.naturalOrder()).orElse(0);
        accused.values().removeIf(ends -> ends < most);
        if (accused.isEmpty()) {
            return Set.of();
        }
        SuspectGroup group = SuspectGroup.of(accused.keySet());
        return quarantine(group, most) ? Set.of(group.name()) : Set.of();
    }

    private int endsUntilQuarantine(String name) {
        return clearedNanos.containsKey(name)
                ? Math.max(MIN_ENDS_OF_CLEARED_SUSPECT, endShare.runLength(MAX_COINCIDENCE))
                : ENDS_OF_UNKNOWN_SUSPECT;
    }

    /** Returns the number of ends that count against a suspect. */
    int ends(String name) {
        SuspectEvidence evidence = suspects.get(name);
        return evidence == null ? 0 : evidence.count(kind);
    }

    private boolean quarantine(SuspectGroup group, int ends) {
        if (!quarantine.add(group, ends)) {
            return false;
        }
        // A request that ran beside others has the same ends as they have: none explains those of another.
        if (kind == SuspectKind.PROMPT_PART) {
            group.members().stream()
                    .map(suspects::get)
                    .filter(Objects::nonNull)
                    .flatMap(evidence -> evidence.targets().stream())
                    .toList()
                    .forEach(target -> explain(target, group.members()));
        }
        return true;
    }

    /** Drops the evidence of a target whose end has been explained, and accepts no more. */
    void explain(String target) {
        explain(target, Set.of());
    }

    /** Keeps the evidence against the members of a group, of which later ends may show that one alone is the cause. */
    private void explain(String target, Set<String> members) {
        explainedEnds.put(target, true);
        suspects.forEach((name, evidence) -> {
            if (!members.contains(name)) {
                evidence.remove(target);
            }
        });
        suspects.values().removeIf(SuspectEvidence::empty);
    }

    /**
     * Quarantines a suspect or a group that another gateway or the store reports, without the members that are known to
     * be sound. Once the table is full, what others report does not displace what is known here.
     *
     * @return the name of what is quarantined by this call; empty if nothing is
     */
    Optional<String> adoptQuarantine(String name) {
        SuspectGroup reported = SuspectGroup.parse(name);
        Set<String> sound =
                reported.members().stream().filter(clearedNanos::containsKey).collect(Collectors.toSet());
        boolean allSound = sound.size() == reported.members().size();
        if (quarantine.full() || (allSound && sound.stream().anyMatch(this::clearedRecently))) {
            return Optional.empty();
        }
        SuspectGroup group = allSound ? reported : reported.without(sound);
        return quarantine(group, 0) ? Optional.of(group.name()) : Optional.empty();
    }

    private boolean clearedRecently(String name) {
        return time.nanoTime() - clearedNanos.get(name) < CLEARANCE_PRECEDENCE.toNanos();
    }

    /** Records that an answer with these suspects went on without a crash, which clears them. */
    QuarantineChange recordCleared(Collection<String> names) {
        Set<String> cleared = new HashSet<>();
        for (String name : names) {
            clearedNanos.put(name, time.nanoTime());
            endShare.recordBegun();
            if (suspects.remove(name) != null) {
                cleared.add(name);
            }
        }
        Set<String> released = quarantine.removeCleared(names);
        Map<String, String> narrowed = quarantine.narrow(names);
        Stream.concat(released.stream(), narrowed.keySet().stream())
                .flatMap(group -> SuspectGroup.parse(group).members().stream())
                .filter(names::contains)
                .forEach(cleared::add);
        return new QuarantineChange(cleared, union(released, narrowed.keySet()), Set.copyOf(narrowed.values()));
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        return Stream.concat(first.stream(), second.stream()).collect(Collectors.toSet());
    }

    /**
     * Records that answers with suspects went on earlier elsewhere. This does not take back what accuses them, but a
     * verdict that needed fewer ends as no answer was known.
     */
    QuarantineChange recordKnownSound(Collection<String> names) {
        Set<String> released = new HashSet<>();
        for (String name : names) {
            boolean known = clearedNanos.containsKey(name);
            int ends = quarantine.ends(name);
            if (!quarantine.contains(name) || (!known && ends > 0)) {
                clearedNanos.putIfAbsent(name, time.nanoTime() - CLEARANCE_PRECEDENCE.toNanos());
            }
            if (!known && ends > 0 && ends < endsUntilQuarantine(name)) {
                quarantine.remove(name);
                released.add(name);
            }
        }
        Map<String, String> narrowed = quarantine.narrow(names);
        return new QuarantineChange(Set.of(), union(released, narrowed.keySet()), Set.copyOf(narrowed.values()));
    }

    /**
     * Ends the quarantine of a suspect or a group.
     *
     * @return whether it was quarantined
     */
    boolean release(String name) {
        return quarantine.remove(name);
    }

    /** Returns the quarantined suspect or group that a request with these suspects holds. */
    Optional<String> quarantined(Collection<String> names) {
        return quarantine.find(names);
    }

    /** Returns whether each request that a suspect or group refuses is refused for another one. */
    boolean covered(String name) {
        return !quarantine.contains(name) && quarantine.covered(SuspectGroup.parse(name));
    }

    /** Returns whether no answer with a suspect has ever gone on. */
    boolean neverCleared(String name) {
        return !clearedNanos.containsKey(name);
    }

    Set<String> quarantined() {
        return quarantine.names();
    }

    /** Returns the evidence against each suspect that is not quarantined by itself. */
    Map<String, SuspectEvidence> evidence() {
        expire();
        Map<String, SuspectEvidence> evidence = new LinkedHashMap<>(suspects);
        evidence.keySet().removeIf(quarantine::contains);
        return evidence;
    }

    /**
     * Returns the suspects with which answers went on, the latest first.
     *
     * @param limit largest number of names returned
     */
    List<String> cleared(int limit) {
        return clearedNanos.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void expire() {
        long oldest = time.nanoTime() - MAX_EVIDENCE_AGE.toNanos();
        suspects.values().forEach(evidence -> evidence.removeBefore(oldest));
        suspects.values().removeIf(SuspectEvidence::empty);
    }
}
