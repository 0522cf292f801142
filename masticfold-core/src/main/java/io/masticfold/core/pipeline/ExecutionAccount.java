package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.error.Ran;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Keeps what is known about the execution of every attempt that may have run for a request. An attempt counts as
 * unknown from the moment it may have left, so that an answer given at any time never claims too much.
 */
final class ExecutionAccount {

    private final Map<AttemptId, Entry> entries = new HashMap<>();

    /** Records an attempt that may run from now on; what is already known about it stands. */
    void mayRun(AttemptId attempt, boolean idempotent) {
        entries.putIfAbsent(attempt, new Entry(idempotent, Ran.UNKNOWN));
    }

    /** Records what is known about an attempt; a statement that it ran is never taken back. */
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
