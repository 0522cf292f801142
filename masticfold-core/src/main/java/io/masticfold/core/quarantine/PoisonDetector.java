package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds what crashes the targets: a whole request that is sent again and again, or a part that many prompts share. Each
 * end of a target accuses the request that it was beginning and the parts of its prompt; a request alone cannot put a
 * part into quarantine. Parts that only occurred together in the requests that crashed targets are quarantined
 * together: a request is refused if it holds all of them. What a quarantined suspect explains accuses nobody else. Not
 * thread-safe.
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
     * @return the name of the suspect or group that is quarantined from now on because of it; empty if none is
     */
    public Set<String> recordEnd(TargetEnd end) {
        if (find(end.suspects()).isPresent()) {
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
     * Quarantines a suspect or a group that another gateway or the store reports.
     *
     * @return the name of what is quarantined by this call, without members that are known to be sound
     */
    public Optional<String> adoptQuarantine(String name) {
        return table(name).adoptQuarantine(name);
    }

    /** Returns the names of the members of a group, or of a suspect that is quarantined by itself. */
    public static Set<String> members(String name) {
        return SuspectGroup.parse(name).members();
    }

    /** Returns whether each request that a suspect or a group refuses is refused for another one. */
    public boolean covered(String name) {
        return table(name).covered(name);
    }

    /** Records that an answer with these suspects went on without a crash, which clears them. */
    public QuarantineChange recordCleared(Collection<String> names) {
        return merge(
                requests.recordCleared(ofKind(SuspectKind.REQUEST, names)),
                parts.recordCleared(ofKind(SuspectKind.PROMPT_PART, names)));
    }

    /** Records that answers with these parts went on earlier elsewhere; does not take back what accuses them. */
    public QuarantineChange recordKnownSound(Collection<String> names) {
        return parts.recordKnownSound(ofKind(SuspectKind.PROMPT_PART, names));
    }

    /** Returns those of the given suspects that are prompt parts with which answers went on. */
    public Set<String> knownSound(Collection<String> names) {
        return ofKind(SuspectKind.PROMPT_PART, names).stream()
                .filter(name -> !parts.neverCleared(name))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Set<String> ofKind(SuspectKind kind, Collection<String> names) {
        return names.stream().filter(name -> SuspectKind.of(name) == kind).collect(Collectors.toUnmodifiableSet());
    }

    private static QuarantineChange merge(QuarantineChange first, QuarantineChange second) {
        return new QuarantineChange(
                union(first.cleared(), second.cleared()),
                union(first.released(), second.released()),
                union(first.narrowed(), second.narrowed()));
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        Set<String> all = new HashSet<>(first);
        all.addAll(second);
        return all;
    }

    /**
     * Ends the quarantine of a suspect.
     *
     * @return whether it was quarantined
     */
    public boolean release(String name) {
        return table(name).release(name);
    }

    /** Returns the first quarantined suspect or group that a request with the given suspects holds. */
    public Optional<String> quarantined(Collection<String> names) {
        return find(names);
    }

    private Optional<String> find(Collection<String> names) {
        Optional<String> request = requests.quarantined(names);
        return request.isPresent() ? request : parts.quarantined(names);
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

    /** Returns the names of all quarantined suspects and groups. */
    public Set<String> quarantined() {
        Set<String> names = new HashSet<>(requests.quarantined());
        names.addAll(parts.quarantined());
        return names;
    }

    /** Returns the ends that accuse suspects not quarantined by themselves, those of each request apart. */
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
