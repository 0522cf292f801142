package io.masticfold.core.matrix;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.gate.TargetCall;
import io.masticfold.core.gate.TargetListener;
import io.masticfold.core.gate.TargetReport;
import io.masticfold.core.invariant.Invariant;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Fake target that records every call it starts to execute; can be slow, fail, die and turn cold. */
final class SimulatedTarget {

    static final int COLD_CONCURRENCY = 2;

    private static final Duration SERVICE_TIME = Duration.ofMillis(20);
    private static final Duration LOCAL_LATENCY = Duration.ofNanos(100_000);
    private static final Duration RESTART_DELAY = Duration.ofMillis(200);
    /** A target that turns cold reports it only with its next load report; the agent polls these every 100 ms. */
    private static final long MAX_REPORT_DELAY_NANOS = Duration.ofMillis(150).toNanos();

    private final Simulation simulation;
    private final Map<AttemptId, Call> openCalls = new LinkedHashMap<>();
    private SimulatedProcess process;
    private @Nullable Incarnation newestAgent;
    private int bootCount;
    private int resultsSinceCold;
    private long coldSinceNanos = Long.MIN_VALUE / 2;
    final String name;
    long slowUntilNanos;
    int callsToFail;

    SimulatedTarget(String name, Simulation simulation) {
        this.name = name;
        this.simulation = simulation;
        this.process = new SimulatedProcess(simulation.clock);
    }

    TargetCall call(StageDispatch dispatch, TargetListener listener, SimulatedAgent agent) {
        if (process.dead() || isFenced(dispatch.agent())) {
            ErrorKind kind = process.dead() ? ErrorKind.TARGET_UNREACHABLE : ErrorKind.TARGET_FAILED;
            agent.process().schedule(LOCAL_LATENCY, () -> listener.failed(kind, Ran.NO));
            return new Call(dispatch, listener, agent.process(), 0);
        }
        Call call = new Call(dispatch, listener, agent.process(), bootCount);
        openCalls.put(dispatch.attempt(), call);
        simulation.executions.add(new Execution(name, dispatch, simulation.clock.nanoTime()));
        checkColdBound();
        SimulatedProcess running = process;
        simulation.stepReached(Step.RUN, simulation.faultSite(dispatch, agent), dispatch.requestId());
        Duration serviceTime =
                slowUntilNanos > simulation.clock.nanoTime() ? SERVICE_TIME.multipliedBy(15) : SERVICE_TIME;
        boolean fails = callsToFail > 0;
        callsToFail -= fails ? 1 : 0;
        if (dispatch.streaming()) {
            running.schedule(serviceTime.dividedBy(4), () -> call.sendChunk(0, agent));
            running.schedule(serviceTime.dividedBy(2), () -> call.sendChunk(1, agent));
        }
        running.schedule(serviceTime, () -> call.finish(fails, agent));
        return call;
    }

    private boolean isFenced(Incarnation agent) {
        if (newestAgent == null || agent.compareTo(newestAgent) > 0) {
            newestAgent = agent;
        }
        return simulation.cell.checksFencing() && agent.compareTo(newestAgent) < 0;
    }

    private void checkColdBound() {
        long callsSinceCold = openCalls.values().stream()
                .filter(call -> call.boot == bootCount)
                .count();
        boolean coldReported = simulation.clock.nanoTime() - coldSinceNanos > MAX_REPORT_DELAY_NANOS;
        if (coldReported && callsSinceCold > COLD_CONCURRENCY + resultsSinceCold) {
            simulation.reportViolation(
                    Invariant.COLD_START_BOUND,
                    name + " runs " + callsSinceCold + " calls after " + resultsSinceCold
                            + " results since it turned cold");
        }
    }

    /** Turns cold without interrupting the calls in progress. */
    void turnCold() {
        bootCount++;
        resultsSinceCold = 0;
        coldSinceNanos = simulation.clock.nanoTime();
    }

    /** Kills the target with all calls in progress; it restarts cold. */
    void kill() {
        process.kill();
        List<Call> interrupted = List.copyOf(openCalls.values());
        openCalls.clear();
        interrupted.forEach(call -> call.agentProcess.schedule(
                LOCAL_LATENCY, () -> call.listener.failed(ErrorKind.TARGET_UNREACHABLE, Ran.UNKNOWN)));
        simulation.clock.schedule(RESTART_DELAY, () -> {
            process = new SimulatedProcess(simulation.clock);
            turnCold();
        });
    }

    TargetReport report() {
        Temperature temperature = resultsSinceCold < COLD_CONCURRENCY ? Temperature.COLD : Temperature.WARM;
        return new TargetReport("boot-" + bootCount, temperature, openCalls.size(), 0, 8, 0);
    }

    boolean dead() {
        return process.dead();
    }

    /** Returns the result of a stage for an input; it is the same on every target. */
    static Payload resultOf(Payload body) {
        return Payload.ofUtf8("<" + body.utf8() + ">");
    }

    private final class Call implements TargetCall {

        private final StageDispatch dispatch;
        private final TargetListener listener;
        private final SimulatedProcess agentProcess;
        private final int boot;

        Call(StageDispatch dispatch, TargetListener listener, SimulatedProcess agentProcess, int boot) {
            this.dispatch = dispatch;
            this.listener = listener;
            this.agentProcess = agentProcess;
            this.boot = boot;
        }

        private byte[] remainingResult() {
            byte[] whole = resultOf(dispatch.body()).unsafeBytes();
            return Arrays.copyOfRange(whole, (int) Math.min(whole.length, dispatch.resumeOffset()), whole.length);
        }

        void sendChunk(int part, SimulatedAgent agent) {
            if (!openCalls.containsKey(dispatch.attempt())) {
                return;
            }
            byte[] remaining = remainingResult();
            int middle = remaining.length / 2;
            byte[] bytes = part == 0
                    ? Arrays.copyOf(remaining, middle)
                    : Arrays.copyOfRange(remaining, middle, remaining.length - 1);
            agentProcess.schedule(LOCAL_LATENCY, () -> listener.chunk(Payload.wrap(bytes)));
            if (part == 0) {
                simulation.stepReached(Step.STREAM, simulation.faultSite(dispatch, agent), dispatch.requestId());
            }
        }

        void finish(boolean fails, SimulatedAgent agent) {
            if (!openCalls.containsKey(dispatch.attempt())) {
                return;
            }
            simulation.stepReached(Step.RESULT, simulation.faultSite(dispatch, agent), dispatch.requestId());
            if (openCalls.remove(dispatch.attempt()) == null) {
                return;
            }
            resultsSinceCold += boot == bootCount ? 1 : 0;
            if (fails || callsToFail > 0) {
                callsToFail = Math.max(0, callsToFail - 1);
                agentProcess.schedule(LOCAL_LATENCY, () -> listener.failed(ErrorKind.TARGET_FAILED, Ran.YES));
            } else {
                agentProcess.schedule(LOCAL_LATENCY, () -> listener.completed(Payload.wrap(remainingResult())));
            }
        }

        @Override
        public void cancel() {
            if (openCalls.remove(dispatch.attempt(), this)) {
                agentProcess.schedule(LOCAL_LATENCY, () -> listener.failed(ErrorKind.CANCELLED, Ran.UNKNOWN));
            }
        }

        @Override
        public void grant(int bytes) {
            if (bytes < 0) {
                throw new IllegalArgumentException("grant must not be negative: " + bytes);
            }
        }
    }
}
