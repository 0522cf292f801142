package io.masticfold.core.matrix;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.StageListener;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Connection between an entry and an agent that can delay, duplicate, reorder and interrupt messages. */
final class MatrixLink implements AgentLink {

    /** Faults that can affect the next message. */
    enum Mishap {
        LATE,
        DOUBLE,
        REORDER,
        CUT_BEFORE,
        CUT_DURING,
        CUT_AFTER
    }

    static final Duration RECONNECT = Duration.ofMillis(300);

    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final Duration LATE = Duration.ofMillis(2500);
    private static final Duration HELD = Duration.ofMillis(50);
    private static final long HEARTBEAT_LAPSE_NANOS = Duration.ofMillis(1500).toNanos();

    private final MatrixWorld world;
    private final MatrixEntry entry;
    private final MatrixAgent agent;
    private final Map<AttemptId, StageListener> open = new LinkedHashMap<>();
    private final Map<AttemptId, Long> received = new HashMap<>();
    private final Map<AttemptId, StageDispatch> dispatches = new HashMap<>();
    private final Set<AttemptId> written = new HashSet<>();
    private @Nullable Runnable held;
    private @Nullable Incarnation greeted;
    private boolean up = true;
    private long heardNanos;
    final Deque<Mishap> mishaps = new ArrayDeque<>();

    MatrixLink(MatrixEntry entry, MatrixAgent agent, MatrixWorld world) {
        this.entry = entry;
        this.agent = agent;
        this.world = world;
        this.greeted = agent.incarnation();
    }

    /**
     * Records a heartbeat while both ends run, and disconnects when heartbeats have been missing for too long. If
     * requested, also exchanges the configuration.
     */
    void tick(boolean exchange) {
        boolean alive = up && !agent.process().dead() && !agent.process().frozen();
        if (alive) {
            heardNanos = world.clock.nanoTime();
            greeted = agent.incarnation();
        } else if (!usable() && up) {
            lose(Duration.ZERO);
        }
        if (alive && exchange) {
            push();
            long asked = world.clock.nanoTime();
            if (!world.off(Mutation.CONTACT_CHECK)) {
                transmit(agent, () -> agent.contacted(asked), () -> {});
            }
            transmit(entry, () -> entry.merge(agent.snapshot().objects()), () -> {});
        }
    }

    /** Sends the configuration of the entry to the agent. */
    void push() {
        if (up && usable()) {
            world.reachedChange(
                    Step.CHANGE_DISTRIBUTE,
                    new Spot(entry, agent),
                    entry.snapshot().objects(),
                    agent.snapshot());
            Collection<ConfigObject> objects = entry.snapshot().objects();
            transmit(agent, () -> agent.merge(objects), () -> {});
        }
    }

    /**
     * Disconnects and ends all open attempts: those already written with an unknown outcome, because they may still
     * arrive, and the others with a refusal.
     */
    void lose(Duration downFor) {
        up = false;
        List.copyOf(open.keySet()).forEach(attempt -> {
            StageListener listener = open.remove(attempt);
            boolean sent = written.contains(attempt) && !world.off(Mutation.LINK_LOSS_UNKNOWN);
            StageOutcome outcome = sent
                    ? new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN)
                    : new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            if (world.off(Mutation.STREAM_END_MARK) && dispatches.get(attempt).streaming()) {
                outcome = new StageCompleted(Payload.EMPTY, 1);
            }
            StageOutcome ended = outcome;
            entry.process().schedule(Duration.ZERO, () -> listener.outcome(ended, TargetLoad.UNKNOWN));
            agent.process().schedule(LATENCY, () -> agent.cancel(attempt));
        });
        world.clock.schedule(downFor.plus(LATENCY), () -> {
            up = true;
            tick(true);
        });
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        VirtualProcess own = entry.process();
        world.reached(Step.SEND, new Spot(entry, agent), dispatch.requestId());
        if (own.dead()) {
            return;
        }
        if (!usable()) {
            listener.outcome(new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO), TargetLoad.UNKNOWN);
            return;
        }
        open.put(dispatch.attempt(), listener);
        dispatches.put(dispatch.attempt(), dispatch);
        own.schedule(Duration.ZERO, () -> {
            if (open.containsKey(dispatch.attempt())) {
                VirtualProcess receiver = agent.process();
                transmit(
                        agent,
                        () -> agent.dispatch(dispatch, new Answers(dispatch, receiver)),
                        () -> written.add(dispatch.attempt()));
            }
        });
    }

    /** Delivers one message and applies the next message fault, if any. */
    private void transmit(ConfigHolder to, Runnable deliver, Runnable onWritten) {
        Mishap mishap = mishaps.poll();
        VirtualProcess receiver = to.process();
        if (mishap == Mishap.CUT_BEFORE) {
            lose(RECONNECT);
            return;
        }
        onWritten.run();
        if (mishap == null) {
            receiver.schedule(LATENCY, deliver);
            if (held != null) {
                receiver.schedule(LATENCY.multipliedBy(2), held);
                held = null;
            }
            return;
        }
        switch (mishap) {
            case LATE -> receiver.schedule(LATE, deliver);
            case DOUBLE -> {
                receiver.schedule(LATENCY, deliver);
                receiver.schedule(HELD, deliver);
            }
            case REORDER -> {
                held = deliver;
                receiver.schedule(HELD, () -> {
                    if (held == deliver) {
                        held = null;
                        deliver.run();
                    }
                });
            }
            case CUT_AFTER -> {
                receiver.schedule(LATENCY, deliver);
                receiver.schedule(LATENCY.multipliedBy(2), () -> lose(RECONNECT));
            }
            default -> lose(RECONNECT);
        }
    }

    @Override
    public void seal(AttemptId attempt, Incarnation incarnation, Consumer<SealOutcome> reply) {
        transmit(
                agent,
                () -> agent.seal(
                        attempt, incarnation, outcome -> transmit(entry, () -> reply.accept(outcome), () -> {})),
                () -> {});
    }

    @Override
    public void cancel(AttemptId attempt) {
        open.remove(attempt);
        if (usable()) {
            transmit(agent, () -> agent.cancel(attempt), () -> {});
        }
    }

    @Override
    public void grant(AttemptId attempt, int bytes) {
        if (bytes < 0) {
            throw new IllegalArgumentException("grant must not be negative: " + bytes + " for " + attempt);
        }
    }

    @Override
    public String target() {
        return agent.target.name;
    }

    @Override
    public boolean usable() {
        return up && greeted != null && world.clock.nanoTime() - heardNanos <= HEARTBEAT_LAPSE_NANOS;
    }

    @Override
    public @Nullable Incarnation agentIncarnation() {
        return greeted;
    }

    @Override
    public TargetLoad load() {
        return agent.gate().load();
    }

    /** Sends the responses of an agent back to the entry. */
    private final class Answers implements StageListener {

        private final StageDispatch dispatch;
        private final VirtualProcess sender;

        Answers(StageDispatch dispatch, VirtualProcess sender) {
            this.dispatch = dispatch;
            this.sender = sender;
        }

        @Override
        public void chunk(long offset, Payload bytes) {
            if (sender.dead()) {
                return;
            }
            transmit(
                    entry,
                    () -> {
                        long before = received.merge(dispatch.attempt(), (long) bytes.size(), Long::sum) - bytes.size();
                        StageListener listener = open.get(dispatch.attempt());
                        if (listener != null) {
                            listener.chunk(world.off(Mutation.STREAM_OFFSETS) ? before : offset, bytes);
                        }
                    },
                    () -> {});
        }

        @Override
        public void outcome(StageOutcome outcome, TargetLoad load) {
            if (sender.dead()) {
                return;
            }
            world.reached(Step.ANSWER, new Spot(entry, agent), dispatch.requestId());
            StageListener own = open.get(dispatch.attempt());
            transmit(entry, () -> deliver(own, outcome, load), () -> {});
        }

        /** Delivers duplicates of an outcome too, because the pipeline run must ignore them. */
        private void deliver(@Nullable StageListener own, StageOutcome outcome, TargetLoad load) {
            StageListener listener = own;
            if (world.off(Mutation.OUTCOME_MATCHED_BY_ATTEMPT)) {
                listener = open.values().stream().reduce(own, (_first, second) -> second);
            }
            if (open.remove(dispatch.attempt()) == null && up && listener == null) {
                return;
            }
            if (listener != null && !entry.process().dead()) {
                listener.outcome(outcome, load);
            }
        }
    }
}
