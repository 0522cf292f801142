package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.error.Ran;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Tracks whether the attempts of a request were executed. The execution of an attempt is unknown from the moment it may
 * have been dispatched, so that a response sent at any time makes no false statement.
 */
final class ExecutionTracker {

    private final Map<AttemptId, AttemptExecution> attempts = new HashMap<>();

    /** Adds an attempt that may run from now on, as unknown; has no effect if the attempt was added before. */
    void add(AttemptId attempt, boolean idempotent) {
        attempts.putIfAbsent(attempt, new AttemptExecution(idempotent, Ran.UNKNOWN));
    }

    /** Records whether an attempt ran; has no effect if the attempt is already known to have run. */
    void record(AttemptId attempt, Ran ran) {
        attempts.computeIfPresent(attempt, (_id, known) -> known.ran() == Ran.YES ? known : known.with(ran));
    }

    /** Returns whether any target ran any stage of the request. */
    Ran ran() {
        return combine(_attempt -> true);
    }

    /** Returns whether any non-idempotent stage of the request ran. */
    Ran effects() {
        return combine(attempt -> !attempt.idempotent());
    }

    private Ran combine(Predicate<AttemptExecution> included) {
        return attempts.values().stream()
                .filter(included)
                .map(AttemptExecution::ran)
                .reduce(Ran.NO, Ran::or);
    }

    private record AttemptExecution(boolean idempotent, Ran ran) {

        AttemptExecution with(Ran newRan) {
            return new AttemptExecution(idempotent, newRan);
        }
    }
}
