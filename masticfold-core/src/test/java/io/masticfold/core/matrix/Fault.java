package io.masticfold.core.matrix;

import java.time.Duration;
import java.util.EnumSet;
import java.util.function.BiConsumer;

/** Faults, each with the action that injects it into the processes of a step. */
enum Fault {
    STAGE_SLOW((world, spot) -> spot.agent().target.slowUntilNanos = world.after(Duration.ofMillis(400))),
    STAGE_ERROR((_world, spot) -> spot.agent().target.failures++),
    STAGE_BURST((world, _spot) -> world.burst()),
    ENTRY_KILLED((_world, spot) -> spot.entry().kill()),
    AGENT_KILLED((_world, spot) -> spot.agent().kill()),
    TARGET_KILLED((_world, spot) -> spot.agent().target.kill()),
    ENTRY_FROZEN((_world, spot) -> spot.entry().process().freeze(MatrixWorld.FREEZE)),
    AGENT_FROZEN((_world, spot) -> spot.agent().process().freeze(MatrixWorld.FREEZE)),
    TARGET_WARM_TO_COLD((world, spot) -> {
        spot.agent().target.turnCold();
        spot.agent().target.slowUntilNanos = world.after(Duration.ofMillis(200));
    }),
    OBJECT_API_DOWN((world, _spot) -> world.store.downUntilNanos = world.after(MatrixWorld.OUTAGE)),
    OBJECT_API_SLOW((world, _spot) -> world.store.slowUntilNanos = world.after(MatrixWorld.OUTAGE)),
    WRITE_ANSWER_LOST((world, _spot) -> world.store.losses++),
    OPERATORS_RACING((world, _spot) -> world.race()),
    MESSAGE_LATE((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.LATE)),
    MESSAGE_DUPLICATED((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.DOUBLE)),
    MESSAGES_REORDERED((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.REORDER)),
    CUT_BEFORE_BODY((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.CUT_BEFORE)),
    CUT_DURING_BODY((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.CUT_DURING)),
    CUT_AFTER_BODY((_world, spot) -> spot.link().mishaps.add(MatrixLink.Mishap.CUT_AFTER)),
    /** Starts a graceful shutdown of the agent. */
    AGENT_SHUTDOWN((_world, spot) -> spot.agent().startLeaving());

    private final BiConsumer<MatrixWorld, Spot> action;

    Fault(BiConsumer<MatrixWorld, Spot> action) {
        this.action = action;
    }

    void strike(MatrixWorld world, Spot spot) {
        action.accept(world, spot);
    }

    /** Returns whether the fault affects a message between an entry and an agent. */
    boolean onLink() {
        return EnumSet.range(MESSAGE_LATE, CUT_AFTER_BODY).contains(this);
    }
}
