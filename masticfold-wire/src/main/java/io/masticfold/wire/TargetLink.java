package io.masticfold.wire;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.StageListener;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Link to the agent of one target; survives the loss and replacement of its connection. */
final class TargetLink implements AgentLink {

    private final String target;
    private final String address;
    private final Dialer dialer;
    private final AtomicReference<@Nullable EntryConnection> connection = new AtomicReference<>();
    private volatile @Nullable Peer lastPeer;
    private volatile TargetLoad load = TargetLoad.UNKNOWN;

    TargetLink(String target, String address, DialerFactory dialers) {
        this.target = target;
        this.address = address;
        this.dialer = dialers.create(this);
    }

    /** Returns the address of the agent as {@code ip:port}. */
    String address() {
        return address;
    }

    void start() {
        dialer.dial();
    }

    /** Stops reconnecting and closes the connection once no attempt is open. */
    void closeWhenIdle() {
        dialer.stop();
        EntryConnection current = connection.get();
        if (current != null) {
            current.closeWhenIdle();
        }
    }

    /** Stops reconnecting and closes the connection immediately. */
    void stop() {
        dialer.stop();
        EntryConnection current = connection.get();
        if (current != null) {
            current.close();
        }
    }

    void connectionOpened(EntryConnection opened) {
        lastPeer = opened.peer();
        load = TargetLoad.UNKNOWN;
        connection.set(opened);
        dialer.resetBackoff();
        if (dialer.stopped()) {
            opened.closeWhenIdle();
        }
    }

    void connectionClosed(EntryConnection lost) {
        connection.compareAndSet(lost, null);
    }

    void updateLoad(TargetLoad reported) {
        load = reported;
    }

    /** Sends changed configuration objects to the agent. */
    void configChanged() {
        EntryConnection current = connection.get();
        if (current != null) {
            current.configChanged();
        }
    }

    @Override
    public String target() {
        return target;
    }

    @Override
    public boolean usable() {
        EntryConnection current = connection.get();
        return current != null && current.alive() && !current.peerLeaving();
    }

    @Override
    public @Nullable Incarnation agentIncarnation() {
        Peer peer = lastPeer;
        return peer == null ? null : peer.identity().incarnation();
    }

    @Override
    public TargetLoad load() {
        return load;
    }

    @Override
    public void dispatch(StageDispatch dispatch, StageListener listener) {
        EntryConnection current = connection.get();
        if (current == null || !current.alive()) {
            listener.outcome(new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO), load);
            return;
        }
        current.dispatch(dispatch, listener);
    }

    @Override
    public void cancel(AttemptId attempt) {
        EntryConnection current = connection.get();
        if (current != null) {
            current.cancel(attempt);
        }
    }

    @Override
    public void grant(AttemptId attempt, int bytes) {
        EntryConnection current = connection.get();
        if (current != null) {
            current.grant(attempt, bytes);
        }
    }

    @Override
    public void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        EntryConnection current = connection.get();
        if (current == null || !current.alive()) {
            reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN));
            return;
        }
        current.seal(attempt, agent, reply);
    }

    LinkStatus status() {
        EntryConnection current = connection.get();
        return current == null
                ? new LinkStatus(target, false, false, agentIncarnation(), 0, 0, 0, 0)
                : current.status(target);
    }
}
