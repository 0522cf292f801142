package io.masticfold.core.quarantine;

import java.util.Set;

/**
 * Records that a target ended while it began answers.
 *
 * @param target identifies the incarnation of the target
 * @param nanos monotonic time at which the end was noticed, in nanoseconds
 * @param parts ids of the shared prompt parts of the requests whose answers it was beginning
 */
public record TargetEnd(String target, long nanos, Set<String> parts) {

    /** Copies the parts. */
    public TargetEnd {
        if (target.isEmpty()) {
            throw new IllegalArgumentException("target must not be empty");
        }
        parts = Set.copyOf(parts);
    }
}
