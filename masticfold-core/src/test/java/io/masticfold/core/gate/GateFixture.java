package io.masticfold.core.gate;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.LedgerSettings;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.ManualScheduler;
import java.util.ArrayList;
import java.util.List;

/** Gate with a fake target, running in virtual time. */
final class GateFixture {

    static final Incarnation AGENT = new Incarnation(1_000, 1);
    static final Incarnation ENTRY = new Incarnation(2_000, 2);
    static final String TARGET = "t1";

    private final ManualScheduler scheduler = new ManualScheduler();
    private final ConfigReplica config = new ConfigReplica();
    private final FakeTarget target = new FakeTarget();
    private final List<String> failureCounters = new ArrayList<>();
    private AgentGate gate;
    private long version;
    private long counter;

    GateFixture(LedgerSettings ledger) {
        gate = gate(AGENT, ledger);
    }

    GateFixture() {
        this(LedgerSettings.DEFAULT);
    }

    /** Creates a configured gate: one concurrent call while cold, four when warm, and a queue of two. */
    static GateFixture configured() {
        GateFixture fixture = new GateFixture();
        fixture.put(new Zone("z1", "r1", ZoneState.IN));
        fixture.put(target(TargetState.SERVING, 1, 4, 2));
        return fixture;
    }

    static Target target(TargetState state, int cold, int max, int queue) {
        return new Target(
                TARGET,
                "z1",
                "pool",
                TargetKind.STAGE,
                "127.0.0.1:7001",
                "127.0.0.1:7002",
                state,
                max,
                cold,
                queue,
                false,
                false,
                null);
    }

    void put(ConfigSpec spec) {
        config.merge(List.of(
                new ConfigObject(new ObjectKey(spec.kind(), spec.name()), ++version, "change-" + version, spec)));
    }

    /** Replaces the gate, simulating a restart of the agent; the open calls of the target continue. */
    AgentGate restart(Incarnation incarnation, LedgerSettings ledger) {
        gate = gate(incarnation, ledger);
        return gate;
    }

    private AgentGate gate(Incarnation incarnation, LedgerSettings ledger) {
        AgentGateSettings settings = AgentGateSettings.of(TARGET, incarnation).withLedger(ledger);
        Telemetry telemetry = new Telemetry() {
            @Override
            public void count(String event) {
                if (event.endsWith("_failed")) {
                    failureCounters.add(event);
                }
            }
        };
        return new AgentGate(settings, config, target, scheduler, telemetry);
    }

    /** Simulates a completed round trip with an entry that began now. */
    void completeRoundTrip() {
        config.recordRoundTrip(scheduler.nanoTime());
    }

    AgentGate gate() {
        return gate;
    }

    FakeTarget target() {
        return target;
    }

    /** Returns the failure counters that the gate incremented for caught exceptions; empty in a correct gate. */
    List<String> failureCounters() {
        return failureCounters;
    }

    ManualScheduler scheduler() {
        return scheduler;
    }

    AttemptId nextId() {
        return new AttemptId(ENTRY, ++counter);
    }

    StageDispatch dispatch(int priority, long budgetMillis, long minimumMillis, boolean idempotent) {
        return dispatch(nextId(), AGENT, priority, budgetMillis, minimumMillis, idempotent);
    }

    static StageDispatch dispatch(
            AttemptId attempt,
            Incarnation agent,
            int priority,
            long budgetMillis,
            long minimumMillis,
            boolean idempotent) {
        return new StageDispatch(
                attempt,
                "request",
                "workspace",
                "pipeline",
                0,
                TARGET,
                agent,
                idempotent,
                priority,
                1,
                budgetMillis * 1_000,
                minimumMillis * 1_000,
                false,
                0,
                0,
                Payload.ofUtf8("in"));
    }

    StageDispatch nonIdempotentDispatch() {
        return dispatch(5, 1_000, 0, false);
    }

    StageDispatch idempotentDispatch() {
        return dispatch(5, 1_000, 0, true);
    }

    RecordingListener send(StageDispatch dispatch) {
        RecordingListener listener = new RecordingListener();
        gate.dispatch(dispatch, listener);
        return listener;
    }

    SealOutcome seal(AttemptId attempt, Incarnation agent) {
        List<SealOutcome> replies = new ArrayList<>();
        gate.seal(attempt, agent, replies::add);
        if (replies.size() != 1) {
            throw new IllegalStateException("seal answered " + replies.size() + " times");
        }
        return replies.get(0);
    }

    void report(String bootId, Temperature temperature, long ageMillis) {
        gate.report(new TargetReport(bootId, temperature, 0, 0, 4, ageMillis));
    }
}
