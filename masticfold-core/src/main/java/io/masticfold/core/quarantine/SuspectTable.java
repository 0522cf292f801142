package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
    private final Map<String, Long> quarantinedNanos;
    private final EndShare endShare;
    private final Map<String, Boolean> explainedEnds = new LeastRecentlyUsedMap<>(MAX_EXPLAINED_ENDS);

    SuspectTable(SuspectKind kind, TimeSource time) {
        this.kind = kind;
        this.time = time;
        this.suspects = new LeastRecentlyUsedMap<>(kind.maxSuspects());
        this.quarantinedNanos = new LeastRecentlyUsedMap<>(kind.maxQuarantined());
        this.endShare = new EndShare(time);
    }

    /**
     * Records that a target ended while it began answers. Ends that something else explains accuse nobody.
     *
     * @return the suspects that are quarantined from now on because of it
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

    private Set<String> quarantineMostAccused(Set<String> names) {
        Map<String, Integer> accused = new HashMap<>();
        for (String name : names) {
            int ends = ends(name);
            if (ends >= endsUntilQuarantine(name)) {
                accused.put(name, ends);
            }
        }
        int most = accused.values().stream().max(Comparator.naturalOrder()).orElse(0);
        Set<String> quarantined = new LinkedHashSet<>();
        accused.forEach((name, ends) -> {
            if (ends == most) {
                quarantined.add(name);
            }
        });
        quarantined.forEach(this::quarantine);
        return quarantined;
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

    private void quarantine(String name) {
        quarantinedNanos.put(name, time.nanoTime());
        SuspectEvidence evidence = suspects.remove(name);
        // A request that ran beside others has the same ends as they have: none explains those of another.
        if (evidence != null && kind == SuspectKind.PROMPT_PART) {
            evidence.targets().forEach(this::explain);
        }
    }

    /** Drops the evidence of a target whose end has been explained, and accepts no more. */
    void explain(String target) {
        explainedEnds.put(target, true);
        suspects.values().forEach(evidence -> evidence.remove(target));
        suspects.values().removeIf(SuspectEvidence::empty);
    }

    /**
     * Quarantines a suspect that another gateway or the store reports. Once the table is full, what others report does
     * not displace what is known here.
     *
     * @return whether the suspect is quarantined by this call
     */
    boolean adoptQuarantine(String name) {
        Long cleared = clearedNanos.get(name);
        if (quarantinedNanos.containsKey(name)
                || quarantinedNanos.size() >= kind.maxQuarantined()
                || (cleared != null && time.nanoTime() - cleared < CLEARANCE_PRECEDENCE.toNanos())) {
            return false;
        }
        quarantine(name);
        return true;
    }

    /**
     * Records that an answer with a suspect went on without a crash, which clears it.
     *
     * @return whether it was suspected or quarantined until now
     */
    boolean recordCleared(String name) {
        clearedNanos.put(name, time.nanoTime());
        endShare.recordBegun();
        boolean suspected = suspects.remove(name) != null;
        boolean quarantined = quarantinedNanos.remove(name) != null;
        return suspected || quarantined;
    }

    /** Records that an answer with a suspect went on earlier elsewhere; does not take back what accuses it. */
    void recordKnownSound(String name) {
        if (!quarantinedNanos.containsKey(name)) {
            clearedNanos.putIfAbsent(name, time.nanoTime() - CLEARANCE_PRECEDENCE.toNanos());
        }
    }

    /**
     * Ends the quarantine of a suspect.
     *
     * @return whether it was quarantined
     */
    boolean release(String name) {
        return quarantinedNanos.remove(name) != null;
    }

    boolean isQuarantined(String name) {
        return quarantinedNanos.containsKey(name);
    }

    /** Moves a quarantined suspect that is still asked for to the end of the order of eviction. */
    void touch(String name) {
        quarantinedNanos.put(name, time.nanoTime());
    }

    /** Returns whether no answer with a suspect has ever gone on. */
    boolean neverCleared(String name) {
        return !clearedNanos.containsKey(name);
    }

    Set<String> quarantined() {
        return Set.copyOf(quarantinedNanos.keySet());
    }

    /** Returns the evidence against each suspect that is not quarantined. */
    Map<String, SuspectEvidence> evidence() {
        expire();
        return Collections.unmodifiableMap(suspects);
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
