package io.masticfold.core.gate;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Orders the attempts that wait, by priority, then by deadline, then by arrival.
 *
 * <p>Not safe for use by several threads; the gate calls it under its lock.
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

    /** Removes and returns the attempt that is next. */
    GateRun removeFirst() {
        return take(runs.first());
    }

    /** Removes and returns the attempt of least priority and, among equals, of the latest deadline. */
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

    /** Returns the attempts in their order, as a copy. */
    List<GateRun> copy() {
        return List.copyOf(runs);
    }
}
