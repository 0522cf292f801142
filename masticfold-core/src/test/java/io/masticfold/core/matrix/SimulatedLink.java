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
final class SimulatedLink implements AgentLink {

    /** Faults that can affect the next message. */
    enum MessageFault {
        DELAY,
        DUPLICATE,
        REORDER,
        DISCONNECT_BEFORE_WRITE,
        DISCONNECT_DURING_WRITE,
        DISCONNECT_AFTER_DELIVERY
    }

    static final Duration RECONNECT_DELAY = Duration.ofMillis(300);

    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final Duration DELAYED_MESSAGE_LATENCY = Duration.ofMillis(2500);
    private static final Duration HOLD_DELAY = Duration.ofMillis(50);
    private static final long HEARTBEAT_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();

    private final Simulation simulation;
    private final SimulatedEntry entry;
    private final SimulatedAgent agent;
    private final Map<AttemptId, StageListener> openAttempts = new LinkedHashMap<>();
    private final Map<AttemptId, Long> receivedBytes = new HashMap<>();
    private final Map<AttemptId, StageDispatch> dispatches = new HashMap<>();
    private final Set<AttemptId> writtenAttempts = new HashSet<>();
    private @Nullable Runnable heldDelivery;
    private @Nullable Incarnation knownIncarnation;
    private boolean connected = true;
    private long lastHeartbeatNanos;
    final Deque<MessageFault> messageFaults = new ArrayDeque<>();

    SimulatedLink(SimulatedEntry entry, SimulatedAgent agent, Simulation simulation) {
        this.entry = entry;
        this.agent = agent;
        this.simulation = simulation;
        this.knownIncarnation = agent.incarnation();
    }

    /**
     * Records a heartbeat while both ends run, and disconnects when heartbeats have been missing for too long. If
     * requested, also exchanges the configuration.
     */
    void tick(boolean exchangeConfig) {
        boolean alive = connected && !agent.process().dead() && !agent.process().frozen();
        if (alive) {
            lastHeartbeatNanos = simulation.clock.nanoTime();
            knownIncarnation = agent.incarnation();
        } else if (!usable() && connected) {
            disconnect(Duration.ZERO);
        }
        if (alive && exchangeConfig) {
            pushConfig();
            long asked = simulation.clock.nanoTime();
            if (!simulation.isDisabled(Mutation.CONTACT_CHECK)) {
                transmit(agent, () -> agent.contacted(asked), () -> {});
            }
            transmit(entry, () -> entry.merge(agent.snapshot().objects()), () -> {});
        }
    }

    /** Sends the configuration of the entry to the agent. */
    void pushConfig() {
        if (connected && usable()) {
            simulation.changeStepReached(
                    Step.CHANGE_DISTRIBUTE,
                    new FaultSite(entry, agent),
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
    void disconnect(Duration reconnectDelay) {
        connected = false;
        List.copyOf(openAttempts.keySet()).forEach(attempt -> {
            StageListener listener = openAttempts.remove(attempt);
            boolean sent = writtenAttempts.contains(attempt) && !simulation.isDisabled(Mutation.LINK_LOSS_UNKNOWN);
            StageOutcome outcome = sent
                    ? new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN)
                    : new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            if (simulation.isDisabled(Mutation.STREAM_END_MARK)
                    && dispatches.get(attempt).streaming()) {
                outcome = new StageCompleted(Payload.EMPTY, 1);
            }
            StageOutcome finalOutcome = outcome;
            entry.process().schedule(Duration.ZERO, () -> listener.outcome(finalOutcome, TargetLoad.UNKNOWN));
            agent.process().schedule(LATENCY, () -> agent.cancel(attempt));
        });
        simulation.clock.schedule(reconnectDelay.plus(LATENCY), () -> {
            connected = true;
            tick(true);
        });
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        SimulatedProcess sender = entry.process();
        simulation.stepReached(Step.SEND, new FaultSite(entry, agent), dispatch.requestId());
        if (sender.dead()) {
            return;
        }
        if (!usable()) {
            listener.outcome(new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO), TargetLoad.UNKNOWN);
            return;
        }
        openAttempts.put(dispatch.attempt(), listener);
        dispatches.put(dispatch.attempt(), dispatch);
        sender.schedule(Duration.ZERO, () -> {
            if (openAttempts.containsKey(dispatch.attempt())) {
                SimulatedProcess receiver = agent.process();
                transmit(
                        agent,
                        () -> agent.dispatch(dispatch, new ResponseRelay(dispatch, receiver)),
                        () -> writtenAttempts.add(dispatch.attempt()));
            }
        });
    }

    /** Delivers one message and applies the next message fault, if any. */
    private void transmit(ConfigHolder recipient, Runnable delivery, Runnable onWritten) {
        MessageFault fault = messageFaults.poll();
        SimulatedProcess receiver = recipient.process();
        if (fault == MessageFault.DISCONNECT_BEFORE_WRITE) {
            disconnect(RECONNECT_DELAY);
            return;
        }
        onWritten.run();
        if (fault == null) {
            receiver.schedule(LATENCY, delivery);
            if (heldDelivery != null) {
                receiver.schedule(LATENCY.multipliedBy(2), heldDelivery);
                heldDelivery = null;
            }
            return;
        }
        switch (fault) {
            case DELAY -> receiver.schedule(DELAYED_MESSAGE_LATENCY, delivery);
            case DUPLICATE -> {
                receiver.schedule(LATENCY, delivery);
                receiver.schedule(HOLD_DELAY, delivery);
            }
            case REORDER -> {
                heldDelivery = delivery;
                receiver.schedule(HOLD_DELAY, () -> {
                    if (heldDelivery == delivery) {
                        heldDelivery = null;
                        delivery.run();
                    }
                });
            }
            case DISCONNECT_AFTER_DELIVERY -> {
                receiver.schedule(LATENCY, delivery);
                receiver.schedule(LATENCY.multipliedBy(2), () -> disconnect(RECONNECT_DELAY));
            }
            default -> disconnect(RECONNECT_DELAY);
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
        openAttempts.remove(attempt);
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
        return connected
                && knownIncarnation != null
                && simulation.clock.nanoTime() - lastHeartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS;
    }

    @Override
    public @Nullable Incarnation agentIncarnation() {
        return knownIncarnation;
    }

    @Override
    public TargetLoad load() {
        return agent.gate().load();
    }

    /**
     * Sends the responses of an agent back to the entry. Chunks that arrive after a disconnect are dropped; an outcome
     * sent before it is still delivered.
     */
    private final class ResponseRelay implements StageListener {

        private final StageDispatch dispatch;
        private final SimulatedProcess sender;

        ResponseRelay(StageDispatch dispatch, SimulatedProcess sender) {
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
                        long offsetByArrival =
                                receivedBytes.merge(dispatch.attempt(), (long) bytes.size(), Long::sum) - bytes.size();
                        StageListener listener = openAttempts.get(dispatch.attempt());
                        if (listener != null) {
                            listener.chunk(
                                    simulation.isDisabled(Mutation.STREAM_OFFSETS) ? offsetByArrival : offset, bytes);
                        }
                    },
                    () -> {});
        }

        @Override
        public void outcome(StageOutcome outcome, TargetLoad load) {
            if (sender.dead()) {
                return;
            }
            simulation.stepReached(Step.ANSWER, new FaultSite(entry, agent), dispatch.requestId());
            StageListener attemptListener = openAttempts.get(dispatch.attempt());
            transmit(entry, () -> deliverOutcome(attemptListener, outcome, load), () -> {});
        }

        /** Delivers duplicates of an outcome too, because the pipeline run must ignore them. */
        private void deliverOutcome(@Nullable StageListener attemptListener, StageOutcome outcome, TargetLoad load) {
            StageListener listener = attemptListener;
            if (simulation.isDisabled(Mutation.OUTCOME_MATCHED_BY_ATTEMPT)) {
                listener = openAttempts.values().stream().reduce(attemptListener, (_first, second) -> second);
            }
            if (openAttempts.remove(dispatch.attempt()) == null && connected && listener == null) {
                return;
            }
            if (listener != null && !entry.process().dead()) {
                listener.outcome(outcome, load);
            }
        }
    }
}
