package io.masticfold.core.gate;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Priority queue of waiting attempts, ordered by descending priority, then by deadline, then by arrival.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class AttemptQueue {

    private final TreeSet<AttemptRun> runs = new TreeSet<>(
            Comparator.comparingInt((AttemptRun run) -> run.dispatch().priority())
                    .reversed()
                    .thenComparing((first, second) -> Long.signum(
                            first.deadline().expiryNanos() - second.deadline().expiryNanos()))
                    .thenComparingLong(AttemptRun::arrivalNumber));

    void add(AttemptRun run) {
        runs.add(run);
    }

    void remove(AttemptRun run) {
        runs.remove(run);
    }

    /** Removes and returns the first attempt. */
    AttemptRun removeFirst() {
        return take(runs.first());
    }

    /** Removes and returns the last attempt: the one with the lowest priority and, within that, the latest deadline. */
    AttemptRun removeLast() {
        return take(runs.last());
    }

    private AttemptRun take(AttemptRun run) {
        runs.remove(run);
        return run;
    }

    int size() {
        return runs.size();
    }

    /** Returns a copy of the queue in its order. */
    List<AttemptRun> copy() {
        return List.copyOf(runs);
    }
}
