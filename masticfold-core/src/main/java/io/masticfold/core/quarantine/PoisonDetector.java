package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the prompt part that crashes the targets. A part is quarantined when several targets, one after the other,
 * ended while they began answers on it, and no answer with it went on since. A part with which answers began before
 * needs more ends than coincidence would explain, given how often targets end. The ends that a quarantined part
 * explains accuse no other part. Not thread-safe.
 */
public final class PoisonDetector {

    /** Ends after which a part is quarantined with which no answer has ever begun. */
    static final int ENDS_OF_UNKNOWN_PART = 3;

    /** Smallest number of ends after which a part is quarantined with which answers began earlier. */
    static final int MIN_ENDS_OF_CLEARED_PART = 5;

    /** Largest probability that as many ends in a row of a part with which answers began are coincidence. */
    static final double MAX_COINCIDENCE = 1e-6;

    /** Ends within this time have one cause, such as a lost zone or connections that were reset together. */
    static final Duration COMMON_CAUSE_WINDOW = Duration.ofMillis(100);

    /** Age above which an end is no evidence any more. */
    static final Duration MAX_EVIDENCE_AGE = Duration.ofMinutes(10);

    /** Time after an answer has begun during which a quarantine that others report for the part is outdated. */
    static final Duration CLEARANCE_PRECEDENCE = Duration.ofSeconds(2);

    /** Largest numbers of parts and ends that are remembered; callers choose the parts. */
    static final int MAX_SUSPECTS = 256;

    static final int MAX_CLEARED = 8192;
    static final int MAX_QUARANTINED = 64;
    static final int MAX_EXPLAINED_ENDS = 1024;
    static final int MAX_ENDS_PER_PART = 64;

    private final TimeSource time;
    private final Map<String, PartEvidence> suspects = new LeastRecentlyUsedMap<>(MAX_SUSPECTS);
    private final Map<String, Long> clearedNanos = new LeastRecentlyUsedMap<>(MAX_CLEARED);
    private final Map<String, Long> quarantinedNanos = new LeastRecentlyUsedMap<>(MAX_QUARANTINED);
    private final EndShare endShare;
    private final Map<String, Boolean> explainedEnds = new LeastRecentlyUsedMap<>(MAX_EXPLAINED_ENDS);

    /** Creates a detector that suspects nothing. */
    public PoisonDetector(TimeSource time) {
        this.time = time;
        this.endShare = new EndShare(time);
    }

    /**
     * Records that a target ended while it began answers.
     *
     * @return the parts that are quarantined from now on because of it
     */
    public Set<String> recordEnd(TargetEnd end) {
        if (end.parts().stream().anyMatch(quarantinedNanos::containsKey)) {
            explain(end.target());
            return Set.of();
        }
        if (explainedEnds.containsKey(end.target())) {
            return Set.of();
        }
        expire();
        for (String part : end.parts()) {
            if (clearedNanos.containsKey(part)) {
                endShare.recordEnd();
            }
            suspects.computeIfAbsent(part, _key -> new PartEvidence()).add(end.target(), end.nanos());
        }
        return quarantineMostAccused(end.parts());
    }

    private Set<String> quarantineMostAccused(Set<String> parts) {
        Map<String, Integer> accused = new HashMap<>();
        for (String part : parts) {
            int ends = ends(part);
            if (ends >= endsUntilQuarantine(part)) {
                accused.put(part, ends);
            }
        }
        int most = accused.values().stream().max(Comparator.naturalOrder()).orElse(0);
        Set<String> quarantined = new LinkedHashSet<>();
        accused.forEach((part, ends) -> {
            if (ends == most) {
                quarantined.add(part);
            }
        });
        quarantined.forEach(this::quarantine);
        return quarantined;
    }

    private int endsUntilQuarantine(String part) {
        return clearedNanos.containsKey(part)
                ? Math.max(MIN_ENDS_OF_CLEARED_PART, endShare.runLength(MAX_COINCIDENCE))
                : ENDS_OF_UNKNOWN_PART;
    }

    /** Returns the number of ends that accuse a part, without those that had one cause with another. */
    public int ends(String part) {
        PartEvidence evidence = suspects.get(part);
        return evidence == null ? 0 : evidence.count(COMMON_CAUSE_WINDOW);
    }

    private void quarantine(String part) {
        quarantinedNanos.put(part, time.nanoTime());
        PartEvidence evidence = suspects.remove(part);
        if (evidence != null) {
            evidence.targets().forEach(this::explain);
        }
    }

    private void explain(String target) {
        explainedEnds.put(target, true);
        suspects.values().forEach(evidence -> evidence.remove(target));
        suspects.values().removeIf(PartEvidence::empty);
    }

    /**
     * Quarantines a part that another gateway or the store reports.
     *
     * @return whether the part is quarantined by this call
     */
    public boolean adoptQuarantine(String part) {
        Long cleared = clearedNanos.get(part);
        if (quarantinedNanos.containsKey(part)
                || (cleared != null && time.nanoTime() - cleared < CLEARANCE_PRECEDENCE.toNanos())) {
            return false;
        }
        quarantine(part);
        return true;
    }

    /**
     * Records that an answer on these parts has begun without a crash, which clears them.
     *
     * @return the parts that were suspected or quarantined until now
     */
    public Set<String> recordCleared(Collection<String> parts) {
        Set<String> released = new LinkedHashSet<>();
        for (String part : parts) {
            clearedNanos.put(part, time.nanoTime());
            endShare.recordBegun();
            boolean suspected = suspects.remove(part) != null;
            boolean quarantined = quarantinedNanos.remove(part) != null;
            if (suspected || quarantined) {
                released.add(part);
            }
        }
        return released;
    }

    /** Records that answers on these parts began earlier elsewhere; does not take back what accuses them. */
    public void recordKnownSound(Collection<String> parts) {
        for (String part : parts) {
            if (!quarantinedNanos.containsKey(part)) {
                clearedNanos.putIfAbsent(part, time.nanoTime() - CLEARANCE_PRECEDENCE.toNanos());
            }
        }
    }

    /**
     * Ends the quarantine of a part.
     *
     * @return whether the part was quarantined
     */
    public boolean release(String part) {
        return quarantinedNanos.remove(part) != null;
    }

    /** Returns the first quarantined part among the given ones. */
    public Optional<String> quarantined(Collection<String> parts) {
        if (quarantinedNanos.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> found =
                parts.stream().filter(quarantinedNanos::containsKey).findFirst();
        // A part that is still asked for is evicted last.
        found.ifPresent(part -> quarantinedNanos.put(part, time.nanoTime()));
        return found;
    }

    /** Returns whether a target has ended on one of these parts and no answer with it has ever begun. */
    public boolean suspected(Collection<String> parts) {
        return !suspects.isEmpty()
                && parts.stream().anyMatch(part -> suspects.containsKey(part) && !clearedNanos.containsKey(part));
    }

    /** Returns the quarantined parts. */
    public Set<String> quarantined() {
        return Set.copyOf(quarantinedNanos.keySet());
    }

    /** Returns the ends that accuse parts that are not quarantined. */
    public List<TargetEnd> evidence() {
        expire();
        Map<String, Long> nanosByTarget = new LinkedHashMap<>();
        Map<String, Set<String>> partsByTarget = new LinkedHashMap<>();
        suspects.forEach((part, evidence) -> evidence.nanosByTarget().forEach((target, nanos) -> {
            nanosByTarget.merge(target, nanos, Math::min);
            partsByTarget.computeIfAbsent(target, _key -> new HashSet<>()).add(part);
        }));
        List<TargetEnd> ends = new ArrayList<>();
        partsByTarget.forEach((target, parts) -> ends.add(new TargetEnd(target, nanosByTarget.get(target), parts)));
        return ends;
    }

    /**
     * Returns the parts with which answers have begun, the latest first.
     *
     * @param limit largest number of parts returned
     */
    public List<String> cleared(int limit) {
        return clearedNanos.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void expire() {
        long oldest = time.nanoTime() - MAX_EVIDENCE_AGE.toNanos();
        suspects.values().forEach(evidence -> evidence.removeBefore(oldest));
        suspects.values().removeIf(PartEvidence::empty);
    }
}
