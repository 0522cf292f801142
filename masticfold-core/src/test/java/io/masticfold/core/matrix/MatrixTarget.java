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
final class MatrixTarget {

    static final int COLD_CONCURRENCY = 2;

    private static final Duration SERVICE = Duration.ofMillis(20);
    private static final Duration HOP = Duration.ofNanos(100_000);
    private static final Duration RESTART = Duration.ofMillis(200);
    /** A target that turns cold reports it only with its next load report; the agent polls these every 100 ms. */
    private static final long REPORT_LAG_NANOS = Duration.ofMillis(150).toNanos();

    private final MatrixWorld world;
    private final Map<AttemptId, Call> open = new LinkedHashMap<>();
    private VirtualProcess process;
    private @Nullable Incarnation newestAgent;
    private int boots;
    private int sinceCold;
    private long coldAtNanos = Long.MIN_VALUE / 2;
    final String name;
    long slowUntilNanos;
    int failures;

    MatrixTarget(String name, MatrixWorld world) {
        this.name = name;
        this.world = world;
        this.process = new VirtualProcess(world.clock);
    }

    TargetCall call(StageDispatch dispatch, TargetListener listener, MatrixAgent agent) {
        if (process.dead() || outdated(dispatch.agent())) {
            ErrorKind kind = process.dead() ? ErrorKind.TARGET_UNREACHABLE : ErrorKind.TARGET_FAILED;
            agent.process().schedule(HOP, () -> listener.failed(kind, Ran.NO));
            return new Call(dispatch, listener, agent.process(), 0);
        }
        Call call = new Call(dispatch, listener, agent.process(), boots);
        open.put(dispatch.attempt(), call);
        world.executions.add(new Execution(name, dispatch, world.clock.nanoTime()));
        checkColdBound();
        VirtualProcess running = process;
        world.reached(Step.RUN, world.spot(dispatch, agent), dispatch.requestId());
        Duration service = slowUntilNanos > world.clock.nanoTime() ? SERVICE.multipliedBy(15) : SERVICE;
        boolean fails = failures > 0;
        failures -= fails ? 1 : 0;
        if (dispatch.streaming()) {
            running.schedule(service.dividedBy(4), () -> call.stream(0, agent));
            running.schedule(service.dividedBy(2), () -> call.stream(1, agent));
        }
        running.schedule(service, () -> call.finish(fails, agent));
        return call;
    }

    private boolean outdated(Incarnation agent) {
        if (newestAgent == null || agent.compareTo(newestAgent) > 0) {
            newestAgent = agent;
        }
        return world.cell.checksFencing() && agent.compareTo(newestAgent) < 0;
    }

    private void checkColdBound() {
        long young = open.values().stream().filter(call -> call.boot == boots).count();
        boolean told = world.clock.nanoTime() - coldAtNanos > REPORT_LAG_NANOS;
        if (told && young > COLD_CONCURRENCY + sinceCold) {
            world.violated(
                    Invariant.COLD_START_BOUND,
                    name + " runs " + young + " calls after " + sinceCold + " results since it turned cold");
        }
    }

    /** Turns cold without interrupting the calls in progress. */
    void turnCold() {
        boots++;
        sinceCold = 0;
        coldAtNanos = world.clock.nanoTime();
    }

    /** Kills the target with all calls in progress; it restarts cold. */
    void kill() {
        process.kill();
        List<Call> broken = List.copyOf(open.values());
        open.clear();
        broken.forEach(call ->
                call.agentProcess.schedule(HOP, () -> call.listener.failed(ErrorKind.TARGET_UNREACHABLE, Ran.UNKNOWN)));
        world.clock.schedule(RESTART, () -> {
            process = new VirtualProcess(world.clock);
            turnCold();
        });
    }

    TargetReport report() {
        Temperature temperature = sinceCold < COLD_CONCURRENCY ? Temperature.COLD : Temperature.WARM;
        return new TargetReport("boot-" + boots, temperature, open.size(), 0, 8, 0);
    }

    boolean dead() {
        return process.dead();
    }

    /** Returns the result of a stage for an input; it is the same on every target. */
    static Payload result(Payload body) {
        return Payload.ofUtf8("<" + body.utf8() + ">");
    }

    private final class Call implements TargetCall {

        private final StageDispatch dispatch;
        private final TargetListener listener;
        private final VirtualProcess agentProcess;
        private final int boot;

        Call(StageDispatch dispatch, TargetListener listener, VirtualProcess agentProcess, int boot) {
            this.dispatch = dispatch;
            this.listener = listener;
            this.agentProcess = agentProcess;
            this.boot = boot;
        }

        private byte[] tail() {
            byte[] whole = result(dispatch.body()).unsafeBytes();
            return Arrays.copyOfRange(whole, (int) Math.min(whole.length, dispatch.resumeOffset()), whole.length);
        }

        void stream(int part, MatrixAgent agent) {
            if (!open.containsKey(dispatch.attempt())) {
                return;
            }
            byte[] tail = tail();
            int middle = tail.length / 2;
            byte[] bytes = part == 0 ? Arrays.copyOf(tail, middle) : Arrays.copyOfRange(tail, middle, tail.length - 1);
            agentProcess.schedule(HOP, () -> listener.chunk(Payload.wrap(bytes)));
            if (part == 0) {
                world.reached(Step.STREAM, world.spot(dispatch, agent), dispatch.requestId());
            }
        }

        void finish(boolean fails, MatrixAgent agent) {
            if (!open.containsKey(dispatch.attempt())) {
                return;
            }
            world.reached(Step.RESULT, world.spot(dispatch, agent), dispatch.requestId());
            if (open.remove(dispatch.attempt()) == null) {
                return;
            }
            sinceCold += boot == boots ? 1 : 0;
            if (fails || failures > 0) {
                failures = Math.max(0, failures - 1);
                agentProcess.schedule(HOP, () -> listener.failed(ErrorKind.TARGET_FAILED, Ran.YES));
            } else {
                agentProcess.schedule(HOP, () -> listener.completed(Payload.wrap(tail())));
            }
        }

        @Override
        public void cancel() {
            if (open.remove(dispatch.attempt(), this)) {
                agentProcess.schedule(HOP, () -> listener.failed(ErrorKind.CANCELLED, Ran.UNKNOWN));
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
