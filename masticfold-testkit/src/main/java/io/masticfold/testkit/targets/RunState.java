package io.masticfold.testkit.targets;

import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.jspecify.annotations.Nullable;

/** Holds one open run: its record and the promises of its start and end. */
final class RunState {

    private final SettablePromise<ExecutionState> end = new SettablePromise<>();
    private final SettablePromise<Boolean> start = new SettablePromise<>();
    private Execution execution;
    private long serviceMillis;
    private @Nullable ScheduledRunnable timer;

    RunState(Execution execution) {
        this.execution = execution;
    }

    Execution execution() {
        return execution;
    }

    void execution(Execution changed) {
        execution = changed;
    }

    long serviceMillis() {
        return serviceMillis;
    }

    void serviceMillis(long millis) {
        serviceMillis = millis;
    }

    /** Returns the promise of a slot; false if the run ended without one. */
    SettablePromise<Boolean> start() {
        return start;
    }

    SettablePromise<ExecutionState> end() {
        return end;
    }

    void timer(ScheduledRunnable scheduled) {
        timer = scheduled;
    }

    void cancelTimer() {
        if (timer != null && timer.isActive()) {
            timer.cancel();
        }
    }
}
