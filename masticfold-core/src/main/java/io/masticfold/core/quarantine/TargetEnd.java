package io.masticfold.core.quarantine;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Records that a target ended while it began answers.
 *
 * @param target identifies the incarnation of the target
 * @param nanos monotonic time at which the end was noticed, in nanoseconds
 * @param suspects names of the request that it was beginning and of the shared parts of its prompt
 */
public record TargetEnd(String target, long nanos, Set<String> suspects) {

    /** Copies the suspects. */
    public TargetEnd {
        if (target.isEmpty()) {
            throw new IllegalArgumentException("target must not be empty");
        }
        suspects = Set.copyOf(suspects);
    }

    /** Returns the name of the request; empty if the gateway that reported the end does not name it. */
    Optional<String> request() {
        return suspects.stream()
                .filter(name -> SuspectKind.of(name) == SuspectKind.REQUEST)
                .findFirst();
    }

    /** Returns the names of the suspects of a kind. */
    Set<String> suspects(SuspectKind kind) {
        return suspects.stream().filter(name -> SuspectKind.of(name) == kind).collect(Collectors.toUnmodifiableSet());
    }
}
