package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds what crashes the targets: a whole request that is sent again and again, or a part that many prompts share. Each
 * end of a target accuses the request that it was beginning and the parts of its prompt; a request alone cannot put a
 * part into quarantine. What a quarantined suspect explains accuses nobody else. Not thread-safe.
 */
public final class PoisonDetector {

    /** Ends of a request that has never been answered after which an attempt of it is not sent to another target. */
    static final int ENDS_WITHOUT_ANOTHER_TARGET = 2;

    private final SuspectTable requests;
    private final SuspectTable parts;

    /** Creates a detector that suspects nothing. */
    public PoisonDetector(TimeSource time) {
        this.requests = new SuspectTable(SuspectKind.REQUEST, time);
        this.parts = new SuspectTable(SuspectKind.PROMPT_PART, time);
    }

    private SuspectTable table(String name) {
        return switch (SuspectKind.of(name)) {
            case REQUEST -> requests;
            case PROMPT_PART -> parts;
        };
    }

    /**
     * Records that a target ended while it began answers.
     *
     * @return the suspects that are quarantined from now on because of it
     */
    public Set<String> recordEnd(TargetEnd end) {
        if (end.suspects().stream().anyMatch(name -> table(name).isQuarantined(name))) {
            requests.explain(end.target());
            parts.explain(end.target());
            return Set.of();
        }
        Set<String> quarantined = requests.recordEnd(end);
        return quarantined.isEmpty() ? parts.recordEnd(end) : quarantined;
    }

    /** Returns the number of ends that count against a suspect. */
    public int ends(String name) {
        return table(name).ends(name);
    }

    /**
     * Quarantines a suspect that another gateway or the store reports.
     *
     * @return whether it is quarantined by this call
     */
    public boolean adoptQuarantine(String name) {
        return table(name).adoptQuarantine(name);
    }

    /**
     * Records that an answer with these suspects went on without a crash, which clears them.
     *
     * @return those that were suspected or quarantined until now
     */
    public Set<String> recordCleared(Collection<String> names) {
        Set<String> released = new LinkedHashSet<>();
        for (String name : names) {
            if (table(name).recordCleared(name)) {
                released.add(name);
            }
        }
        return released;
    }

    /** Records that answers with these suspects went on earlier elsewhere; does not take back what accuses them. */
    public void recordKnownSound(Collection<String> names) {
        names.forEach(name -> table(name).recordKnownSound(name));
    }

    /**
     * Ends the quarantine of a suspect.
     *
     * @return whether it was quarantined
     */
    public boolean release(String name) {
        return table(name).release(name);
    }

    /** Returns the first quarantined suspect among the given ones. */
    public Optional<String> quarantined(Collection<String> names) {
        Optional<String> found =
                names.stream().filter(name -> table(name).isQuarantined(name)).findFirst();
        found.ifPresent(name -> table(name).touch(name));
        return found;
    }

    /**
     * Returns whether a request that was broken off must not be tried at another target: a target has ended on a part
     * of its prompt with which no answer has ever begun, or several have ended on the request itself.
     */
    public boolean suspected(Collection<String> names) {
        return names.stream()
                .anyMatch(name -> table(name).neverCleared(name) && ends(name) >= endsUntilSuspected(name));
    }

    private static int endsUntilSuspected(String name) {
        return SuspectKind.of(name) == SuspectKind.REQUEST ? ENDS_WITHOUT_ANOTHER_TARGET : 1;
    }

    /** Returns the names of all quarantined suspects. */
    public Set<String> quarantined() {
        Set<String> names = new HashSet<>(requests.quarantined());
        names.addAll(parts.quarantined());
        return names;
    }

    /** Returns the ends that accuse suspects that are not quarantined, those of each request apart. */
    public List<TargetEnd> evidence() {
        Map<SuspectEvidence.End, Set<String>> suspectsByEnd = new LinkedHashMap<>();
        for (SuspectTable table : List.of(requests, parts)) {
            table.evidence().forEach((name, evidence) -> evidence.ends().forEach(end -> {
                Set<String> suspects = suspectsByEnd.computeIfAbsent(end, _key -> new HashSet<>());
                suspects.add(name);
                if (end.request() != null) {
                    suspects.add(end.request());
                }
            }));
        }
        List<TargetEnd> ends = new ArrayList<>();
        suspectsByEnd.forEach((end, suspects) -> ends.add(new TargetEnd(end.target(), end.nanos(), suspects)));
        return ends;
    }

    /**
     * Returns the prompt parts with which answers have begun, the latest first.
     *
     * @param limit largest number of parts returned
     */
    public List<String> cleared(int limit) {
        return parts.cleared(limit);
    }
}
