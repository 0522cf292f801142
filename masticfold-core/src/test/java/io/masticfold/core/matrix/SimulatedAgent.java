package io.masticfold.core.matrix;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.gate.AgentGate;
import io.masticfold.core.gate.AgentGateSettings;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.telemetry.Telemetry;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Agent with the production gate and a fake target; can be killed and frozen. */
final class SimulatedAgent implements ConfigHolder {

    static final Duration RESTART_DELAY = Duration.ofMillis(200);

    private final Simulation simulation;
    private final Set<AttemptId> receivedAttempts = new HashSet<>();
    private SimulatedProcess process;
    private ConfigReplica config = new ConfigReplica();
    private ConfigReplica gateConfig = new ConfigReplica();
    private AgentGate gate;
    private Incarnation incarnation;
    private long startedNanos;
    private long redeliveries;
    final SimulatedTarget target;

    SimulatedAgent(String name, Simulation simulation) {
        this.simulation = simulation;
        this.target = new SimulatedTarget(name, simulation);
        this.process = new SimulatedProcess(simulation.clock);
        this.incarnation = new Incarnation(1, 1);
        this.gate = newGate();
        scheduleReport();
    }

    private AgentGate newGate() {
        SimulatedProcess currentProcess = process;
        return new AgentGate(
                AgentGateSettings.of(target.name, incarnation),
                gateConfig,
                (dispatch, _budget, listener) -> target.call(dispatch, listener, this),
                currentProcess,
                Telemetry.NONE);
    }

    private void scheduleReport() {
        process.schedule(Simulation.TICK_INTERVAL, () -> {
            if (!target.dead()) {
                gate.report(target.report());
            }
            scheduleReport();
        });
    }

    void kill() {
        process.kill();
        simulation.entries.forEach(entry -> entry.link(this).disconnect(RESTART_DELAY));
        simulation.clock.schedule(RESTART_DELAY, this::restart);
    }

    private void restart() {
        process = new SimulatedProcess(simulation.clock);
        startedNanos = simulation.clock.nanoTime();
        incarnation = new Incarnation(incarnation.startMillis() + 1, 1);
        config = new ConfigReplica();
        gateConfig = new ConfigReplica();
        receivedAttempts.clear();
        gate = newGate();
        scheduleReport();
    }

    void dispatch(StageDispatch dispatch, StageListener listener) {
        SimulatedProcess receiver = process;
        simulation.stepReached(Step.ADMIT, simulation.faultSite(dispatch, this), dispatch.requestId());
        if (receiver.dead() || receiver != process) {
            return;
        }
        StageDispatch received = dispatch;
        if (!receivedAttempts.add(dispatch.attempt()) && simulation.isDisabled(Mutation.AGENT_DEDUPE)) {
            received = MutatedCopies.withAttempt(
                    received, new AttemptId(dispatch.attempt().entry(), 1_000_000 + ++redeliveries));
        }
        if (simulation.isDisabled(Mutation.INCARNATION_CHECK)) {
            received = MutatedCopies.withAgent(received, incarnation);
        }
        gate.dispatch(received, listener);
    }

    void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        if (simulation.isDisabled(Mutation.SEAL_RECORDS_REFUSAL)
                && !receivedAttempts.contains(attempt)
                && agent.equals(incarnation)) {
            reply.accept(SealOutcome.of(SealOutcome.State.NOT_RUN));
        } else {
            gate.seal(attempt, simulation.isDisabled(Mutation.INCARNATION_CHECK) ? incarnation : agent, reply);
        }
    }

    void cancel(AttemptId attempt) {
        gate.cancel(attempt);
    }

    void startLeaving() {
        gate.startLeaving();
    }

    /** Records a completed round trip with an entry that started at the given time. */
    void contacted(long askedNanos) {
        gateConfig.recordRoundTrip(askedNanos);
    }

    @Override
    public boolean merge(Collection<ConfigObject> objects) {
        SimulatedProcess receiver = process;
        simulation.changeStepReached(
                Step.CHANGE_APPLY, new FaultSite(simulation.entries.get(0), this), objects, config.snapshot());
        if (receiver.dead() || receiver != process) {
            return false;
        }
        boolean newer = config.merge(simulation.objectsToMerge(config.snapshot(), objects));
        gateConfig.merge(MutatedCopies.gateView(simulation, config.snapshot().objects()));
        return newer;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return config.snapshot();
    }

    @Override
    public String processName() {
        return "agent " + target.name + " " + incarnation;
    }

    @Override
    public long runningSinceNanos() {
        return Math.max(startedNanos, process.frozenUntilNanos());
    }

    @Override
    public SimulatedProcess process() {
        return process;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    AgentGate gate() {
        return gate;
    }
}
