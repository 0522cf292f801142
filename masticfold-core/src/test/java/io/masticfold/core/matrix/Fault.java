package io.masticfold.core.matrix;

import java.time.Duration;
import java.util.EnumSet;
import java.util.function.BiConsumer;

/** Faults, each with the action that injects it into the processes of a step. */
enum Fault {
    STAGE_SLOW(
            (simulation, site) -> site.agent().target.slowUntilNanos = simulation.nanosAfter(Duration.ofMillis(400))),
    STAGE_ERROR((_simulation, site) -> site.agent().target.callsToFail++),
    STAGE_BURST((simulation, _site) -> simulation.submitBurst()),
    ENTRY_KILLED((_simulation, site) -> site.entry().kill()),
    AGENT_KILLED((_simulation, site) -> site.agent().kill()),
    TARGET_KILLED((_simulation, site) -> site.agent().target.kill()),
    ENTRY_FROZEN((_simulation, site) -> site.entry().process().freeze(Simulation.FREEZE_DURATION)),
    AGENT_FROZEN((_simulation, site) -> site.agent().process().freeze(Simulation.FREEZE_DURATION)),
    TARGET_WARM_TO_COLD((simulation, site) -> {
        site.agent().target.turnCold();
        site.agent().target.slowUntilNanos = simulation.nanosAfter(Duration.ofMillis(200));
    }),
    OBJECT_API_DOWN((simulation, _site) ->
            simulation.store.downUntilNanos = simulation.nanosAfter(Simulation.STORE_FAULT_DURATION)),
    OBJECT_API_SLOW((simulation, _site) ->
            simulation.store.slowUntilNanos = simulation.nanosAfter(Simulation.STORE_FAULT_DURATION)),
    WRITE_ANSWER_LOST((simulation, _site) -> simulation.store.answersToLose++),
    OPERATORS_RACING((simulation, _site) -> simulation.submitRacingChanges()),
    MESSAGE_LATE((_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.DELAY)),
    MESSAGE_DUPLICATED((_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.DUPLICATE)),
    MESSAGES_REORDERED((_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.REORDER)),
    CUT_BEFORE_BODY(
            (_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.DISCONNECT_BEFORE_WRITE)),
    CUT_DURING_BODY(
            (_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.DISCONNECT_DURING_WRITE)),
    CUT_AFTER_BODY(
            (_simulation, site) -> site.link().messageFaults.add(SimulatedLink.MessageFault.DISCONNECT_AFTER_DELIVERY)),
    /** Starts a graceful shutdown of the agent. */
    AGENT_SHUTDOWN((_simulation, site) -> site.agent().startLeaving());

    private final BiConsumer<Simulation, FaultSite> action;

    Fault(BiConsumer<Simulation, FaultSite> action) {
        this.action = action;
    }

    void inject(Simulation simulation, FaultSite site) {
        action.accept(simulation, site);
    }

    /** Returns whether the fault affects a message between an entry and an agent. */
    boolean affectsMessages() {
        return EnumSet.range(MESSAGE_LATE, CUT_AFTER_BODY).contains(this);
    }
}
