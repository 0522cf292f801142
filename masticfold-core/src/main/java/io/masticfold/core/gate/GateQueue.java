package io.masticfold.core.gate;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Priority queue of waiting attempts, ordered by descending priority, then by deadline, then by arrival.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class GateQueue {

    private final TreeSet<GateRun> runs = new TreeSet<>(
            Comparator.comparingInt((GateRun run) -> run.dispatch().priority())
                    .reversed()
                    .thenComparing((first, second) -> Long.signum(
                            first.deadline().expiryNanos() - second.deadline().expiryNanos()))
                    .thenComparingLong(GateRun::order));

    void add(GateRun run) {
        runs.add(run);
    }

    void remove(GateRun run) {
        runs.remove(run);
    }

    /** Removes and returns the first attempt. */
    GateRun removeFirst() {
        return take(runs.first());
    }

    /** Removes and returns the last attempt: the one with the lowest priority and, within that, the latest deadline. */
    GateRun removeLast() {
        return take(runs.last());
    }

    private GateRun take(GateRun run) {
        runs.remove(run);
        return run;
    }

    int size() {
        return runs.size();
    }

    /** Returns a copy of the queue in its order. */
    List<GateRun> copy() {
        return List.copyOf(runs);
    }
}
