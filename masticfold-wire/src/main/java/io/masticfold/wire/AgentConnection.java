package io.masticfold.wire;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageHandler;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import io.masticfold.wire.proto.PermitReply;
import io.masticfold.wire.proto.PermitRequest;
import io.masticfold.wire.proto.Seal;
import io.masticfold.wire.proto.WindowUpdate;
import io.netty.channel.ChannelHandlerContext;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Agent's end of an authenticated connection with an entry. Confined to its event loop unless stated otherwise. */
final class AgentConnection extends AbstractConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(AgentConnection.class);

    private final WireServer server;
    private final StageHandler handler;
    private final AgentState state;
    private final Map<AttemptId, InboundAttempt> attempts = new HashMap<>();
    private final Queue<Consumer<PermitDecision>> pendingPermitReplies = new ArrayDeque<>();
    private final PauseDetector pauseDetector;
    private volatile int openAttempts;
    private boolean closed;

    AgentConnection(
            WireEnvironment environment,
            ConfigDeltaCodec deltaCodec,
            Peer peer,
            WireServer server,
            StageHandler handler,
            AgentState state) {
        super(environment, deltaCodec, peer, _heartbeat -> {});
        this.server = server;
        this.handler = handler;
        this.state = state;
        this.pauseDetector = new PauseDetector(environment.time());
    }

    @Override
    void onOpen() {
        server.connectionOpened(this);
    }

    @Override
    int openAttempts() {
        return openAttempts;
    }

    @Override
    Heartbeat.Builder newHeartbeat() {
        pauseDetector.observe();
        return Heartbeat.newBuilder()
                .setLeaving(state.leaving())
                .setLoad(MessageConverter.load(state.load()))
                .setConnectedEntries(server.connectedEntries());
    }

    TargetLoad load() {
        return state.load();
    }

    boolean writable() {
        return context().channel().isWritable();
    }

    /** Removes an attempt whose outcome is about to be sent. */
    void attemptEnded(AttemptId attempt) {
        attempts.remove(attempt);
        openAttempts = attempts.size();
    }

    void cancelAttempt(AttemptId attempt) {
        handler.cancel(attempt);
    }

    @Override
    void handleFrame(Frame frame) {
        switch (frame.getMessageCase()) {
            case DISPATCH -> handleDispatch(MessageConverter.dispatch(frame.getDispatch(), pauseDetector.observe()));
            case CANCEL ->
                handler.cancel(MessageConverter.attempt(frame.getCancel().getAttempt()));
            case WINDOW_UPDATE -> handleWindowUpdate(frame.getWindowUpdate());
            case SEAL -> handleSeal(frame.getSeal());
            case PERMIT_REPLY -> handlePermitReply(frame.getPermitReply());
            default ->
                ConnectionErrors.closeOnViolation(
                        context(), environment().telemetry(), "unexpected frame " + frame.getMessageCase());
        }
    }

    private void handleDispatch(StageDispatch dispatch) {
        AttemptId id = dispatch.attempt();
        if (attempts.containsKey(id)) {
            // A reply to the duplicate carries the same attempt id, so the entry would end the attempt in progress.
            reportIgnoredMessage(id, "duplicate dispatch");
            return;
        }
        InboundAttempt attempt = new InboundAttempt(this, dispatch);
        if (attempts.size() >= WireLimits.MAX_OPEN_ATTEMPTS) {
            environment().telemetry().refused(ErrorKind.OVERLOADED);
            send(MessageConverter.outcome(
                    id, dispatch.streaming(), new StageRefused(ErrorKind.OVERLOADED, Duration.ZERO), state.load()));
            return;
        }
        attempts.put(id, attempt);
        openAttempts = attempts.size();
        try {
            handler.dispatch(dispatch, attempt);
        } catch (RuntimeException e) {
            environment().telemetry().count("connection_handler_failed");
            WireEvent.HANDLER_FAILED.log(LOGGER, context().channel().remoteAddress(), e);
            attempt.outcome(new StageFailed(ErrorKind.INTERNAL, Ran.UNKNOWN), state.load());
        }
    }

    private void reportIgnoredMessage(AttemptId attempt, String reason) {
        environment().telemetry().count("attempt_message_ignored");
        WireEvent.ATTEMPT_MESSAGE_IGNORED.log(LOGGER, attempt, peer().identity().process(), reason);
    }

    private void handleWindowUpdate(WindowUpdate update) {
        AttemptId id = MessageConverter.attempt(update.getAttempt());
        InboundAttempt attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        if (update.getBytes() <= 0) {
            reportIgnoredMessage(id, "window update of " + update.getBytes() + " bytes");
            return;
        }
        attempt.extendWindow(update.getBytes());
        handler.grant(id, update.getBytes());
    }

    private void handleSeal(Seal seal) {
        handler.seal(
                MessageConverter.attempt(seal.getAttempt()),
                MessageConverter.incarnation(seal.getAgent()),
                outcome -> execute(() -> send(MessageConverter.sealReply(seal.getSealId(), limitResultSize(outcome)))));
    }

    /** Replaces an outcome whose result exceeds the frame limit by UNKNOWN: DONE is never sent without its result. */
    private SealOutcome limitResultSize(SealOutcome outcome) {
        Payload result = outcome.result();
        if (result != null && result.size() > WireLimits.MAX_FRAME_BYTES - WireLimits.FRAME_OVERHEAD_BYTES) {
            environment().telemetry().count("result_too_large");
            return SealOutcome.of(SealOutcome.State.UNKNOWN);
        }
        return outcome;
    }

    /**
     * Asks the entry for a weight-store permit; safe to call from any thread.
     *
     * @param reply receives the answer on the event loop, {@link PermitDecision#DENIED} if the link is lost
     */
    void requestPermit(String target, long bytes, Consumer<PermitDecision> reply) {
        boolean accepted = execute(() -> {
            if (closed) {
                reply.accept(PermitDecision.DENIED);
                return;
            }
            pendingPermitReplies.add(reply);
            send(Frame.newBuilder()
                    .setPermitRequest(
                            PermitRequest.newBuilder().setTarget(target).setBytes(bytes))
                    .build());
        });
        if (!accepted) {
            reply.accept(PermitDecision.DENIED);
        }
    }

    private void handlePermitReply(PermitReply reply) {
        Consumer<PermitDecision> receiver = pendingPermitReplies.poll();
        if (receiver == null) {
            environment().telemetry().count("late_permit_reply");
            return;
        }
        receiver.accept(new PermitDecision(reply.getGranted(), Duration.ofMillis(Math.max(0, reply.getTermMillis()))));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        List.copyOf(attempts.values()).forEach(InboundAttempt::flush);
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    void onClose() {
        closed = true;
        server.connectionClosed(this);
        List<InboundAttempt> open = List.copyOf(attempts.values());
        attempts.clear();
        openAttempts = 0;
        open.forEach(this::handleLinkLoss);
        pendingPermitReplies.forEach(reply -> reply.accept(PermitDecision.DENIED));
        pendingPermitReplies.clear();
    }

    /**
     * Cancels an idempotent attempt, because no entry waits for it any more. A non-idempotent attempt runs to its end
     * without flow control, so that its result can be stored.
     */
    private void handleLinkLoss(InboundAttempt attempt) {
        attempt.discard();
        StageDispatch dispatch = attempt.dispatch();
        if (dispatch.idempotent()) {
            handler.cancel(dispatch.attempt());
        } else if (dispatch.streaming()) {
            handler.grant(dispatch.attempt(), WireLimits.MAX_STREAM_RESULT_BYTES);
        }
    }
}
