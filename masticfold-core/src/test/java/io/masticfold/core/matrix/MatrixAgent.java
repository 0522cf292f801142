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
final class MatrixAgent implements ConfigHolder {

    static final Duration RESTART = Duration.ofMillis(200);

    private final MatrixWorld world;
    private final Set<AttemptId> arrived = new HashSet<>();
    private VirtualProcess process;
    private ConfigReplica config = new ConfigReplica();
    private ConfigReplica gateConfig = new ConfigReplica();
    private AgentGate gate;
    private Incarnation incarnation;
    private long startedNanos;
    private long copies;
    final MatrixTarget target;

    MatrixAgent(String name, MatrixWorld world) {
        this.world = world;
        this.target = new MatrixTarget(name, world);
        this.process = new VirtualProcess(world.clock);
        this.incarnation = new Incarnation(1, 1);
        this.gate = newGate();
        schedule();
    }

    private AgentGate newGate() {
        VirtualProcess own = process;
        return new AgentGate(
                AgentGateSettings.of(target.name, incarnation),
                gateConfig,
                (dispatch, _budget, listener) -> target.call(dispatch, listener, this),
                own,
                Telemetry.NONE);
    }

    private void schedule() {
        process.schedule(MatrixWorld.TICK, () -> {
            if (!target.dead()) {
                gate.report(target.report());
            }
            schedule();
        });
    }

    void kill() {
        process.kill();
        world.entries.forEach(entry -> entry.link(this).lose(RESTART));
        world.clock.schedule(RESTART, this::restart);
    }

    private void restart() {
        process = new VirtualProcess(world.clock);
        startedNanos = world.clock.nanoTime();
        incarnation = new Incarnation(incarnation.startMillis() + 1, 1);
        config = new ConfigReplica();
        gateConfig = new ConfigReplica();
        arrived.clear();
        gate = newGate();
        schedule();
    }

    void dispatch(StageDispatch dispatch, StageListener listener) {
        VirtualProcess own = process;
        world.reached(Step.ADMIT, world.spot(dispatch, this), dispatch.requestId());
        if (own.dead() || own != process) {
            return;
        }
        StageDispatch seen = dispatch;
        if (!arrived.add(dispatch.attempt()) && world.off(Mutation.AGENT_DEDUPE)) {
            seen = Dispatches.withAttempt(seen, new AttemptId(dispatch.attempt().entry(), 1_000_000 + ++copies));
        }
        if (world.off(Mutation.INCARNATION_CHECK)) {
            seen = Dispatches.withAgent(seen, incarnation);
        }
        gate.dispatch(seen, listener);
    }

    void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        if (world.off(Mutation.SEAL_RECORDS_REFUSAL) && !arrived.contains(attempt) && agent.equals(incarnation)) {
            reply.accept(SealOutcome.of(SealOutcome.State.NOT_RUN));
        } else {
            gate.seal(attempt, world.off(Mutation.INCARNATION_CHECK) ? incarnation : agent, reply);
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
        gateConfig.contacted(askedNanos);
    }

    @Override
    public boolean merge(Collection<ConfigObject> objects) {
        VirtualProcess own = process;
        world.reachedChange(Step.CHANGE_APPLY, new Spot(world.entries.get(0), this), objects, config.snapshot());
        if (own.dead() || own != process) {
            return false;
        }
        boolean newer = config.merge(world.rewrite(config.snapshot(), objects));
        gateConfig.merge(Dispatches.forGate(world, config.snapshot().objects()));
        return newer;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return config.snapshot();
    }

    @Override
    public String holder() {
        return "agent " + target.name + " " + incarnation;
    }

    @Override
    public long aliveSinceNanos() {
        return Math.max(startedNanos, process.frozenUntilNanos());
    }

    @Override
    public VirtualProcess process() {
        return process;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    AgentGate gate() {
        return gate;
    }
}
