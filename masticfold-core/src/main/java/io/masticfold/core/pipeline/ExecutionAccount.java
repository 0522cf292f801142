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
final class ExecutionAccount {

    private final Map<AttemptId, Entry> entries = new HashMap<>();

    /** Adds an attempt that may run from now on, as unknown; has no effect if the attempt was added before. */
    void mayRun(AttemptId attempt, boolean idempotent) {
        entries.putIfAbsent(attempt, new Entry(idempotent, Ran.UNKNOWN));
    }

    /** Records whether an attempt ran; has no effect if the attempt is already known to have run. */
    void settle(AttemptId attempt, Ran ran) {
        entries.computeIfPresent(attempt, (_id, known) -> known.ran() == Ran.YES ? known : known.with(ran));
    }

    /** Returns whether any target ran any stage of the request. */
    Ran ran() {
        return fold(_entry -> true);
    }

    /** Returns whether any non-idempotent stage of the request ran. */
    Ran effects() {
        return fold(entry -> !entry.idempotent());
    }

    private Ran fold(Predicate<Entry> counted) {
        return entries.values().stream().filter(counted).map(Entry::ran).reduce(Ran.NO, Ran::or);
    }

    private record Entry(boolean idempotent, Ran ran) {

        Entry with(Ran newRan) {
            return new Entry(idempotent, newRan);
        }
    }
}
