package io.masticfold.testkit.targets;

import io.masticfold.core.attempt.Temperature;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Hands slots to runs, records them and watches the cold bound. Not safe for several threads. */
final class RunQueue {

    private final TargetProfile profile;
    private final LongSupplier nowMillis;
    private final Warmth warmth;
    private final Consumer<RunState> starter;
    private final ExecutionLog log = new ExecutionLog();
    private final Set<RunState> running = new LinkedHashSet<>();
    private final ArrayDeque<RunState> queue = new ArrayDeque<>();
    private long burstSlots;
    private int peakInFlight;
    private int peakInFlightCold;
    private int collapses;

    RunQueue(TargetProfile profile, LongSupplier nowMillis, Consumer<RunState> starter) {
        this.profile = profile;
        this.nowMillis = nowMillis;
        this.starter = starter;
        this.warmth = new Warmth(nowMillis, profile.coldMillis());
    }

    Warmth warmth() {
        return warmth;
    }

    boolean full() {
        return running.size() >= slots() && queue.size() >= profile.queueLimit();
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    int peakInFlight() {
        return peakInFlight;
    }

    int peakInFlightCold() {
        return peakInFlightCold;
    }

    int collapses() {
        return collapses;
    }

    Temperature temperature() {
        return warmth.temperature();
    }

    void burstSlots(long occupied) {
        burstSlots = occupied;
        fill();
    }

    /** Takes a run in; it starts as soon as a slot is free. Beyond the cold bound all runs fail. */
    void add(RunState run) {
        queue.addLast(run);
        int inFlight = running.size() + queue.size();
        peakInFlight = Math.max(peakInFlight, inFlight);
        if (!temperature().warm()) {
            peakInFlightCold = Math.max(peakInFlightCold, inFlight);
            if (inFlight > profile.coldSlots()) {
                collapse();
                return;
            }
        }
        warmth.run();
        fill();
    }

    /** Ends a run and hands its slot on; has no effect if it has ended. */
    void end(RunState run, ExecutionState state) {
        if (run.execution().state().ended()) {
            return;
        }
        run.cancelTimer();
        running.remove(run);
        queue.remove(run);
        run.execution(run.execution().ended(nowMillis.getAsLong(), state));
        log.add(run.execution());
        run.start().trySet(Boolean.FALSE);
        run.end().set(state);
        fill();
    }

    Optional<RunState> find(String attemptId) {
        return open().stream()
                .filter(run -> run.execution().attemptId().equals(attemptId))
                .findFirst();
    }

    List<Execution> executions() {
        return log.with(open().stream().map(RunState::execution));
    }

    private List<RunState> open() {
        List<RunState> open = new ArrayList<>(running);
        open.addAll(queue);
        return open;
    }

    private void collapse() {
        collapses++;
        List<RunState> open = open();
        queue.clear();
        open.forEach(run -> end(run, ExecutionState.FAILED));
        warmth.turnCold();
    }

    private long slots() {
        return Math.max(0, profile.slots() - burstSlots);
    }

    private void fill() {
        while (running.size() < slots() && !queue.isEmpty()) {
            RunState next = queue.removeFirst();
            running.add(next);
            next.execution(next.execution().started(nowMillis.getAsLong()));
            starter.accept(next);
            next.start().trySet(Boolean.TRUE);
        }
    }
}
