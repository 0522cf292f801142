package io.masticfold.wire;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.wire.proto.Attempt;
import io.masticfold.wire.proto.Chunk;
import io.masticfold.wire.proto.End;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import io.masticfold.wire.proto.PermitReply;
import io.masticfold.wire.proto.PermitRequest;
import io.masticfold.wire.proto.SealReply;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry's end of an authenticated connection with an agent. Confined to its event loop unless stated otherwise. */
final class EntryConnection extends AbstractConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(EntryConnection.class);

    private final TargetLink link;
    private final PermitHandler permitHandler;
    private final Map<AttemptId, OutboundAttempt> attempts = new HashMap<>();
    private final Map<Long, Consumer<SealOutcome>> pendingSeals = new HashMap<>();
    private volatile int openAttempts;
    private long lastSealId;
    private boolean closed;
    private boolean closeWhenIdle;

    EntryConnection(
            WireEnvironment environment,
            ConfigDeltaCodec deltaCodec,
            Peer peer,
            TargetLink link,
            PermitHandler permitHandler) {
        super(environment, deltaCodec, peer, heartbeat -> link.updateLoad(MessageConverter.load(heartbeat.getLoad())));
        this.link = link;
        this.permitHandler = permitHandler;
    }

    @Override
    void onOpen() {
        link.connectionOpened(this);
    }

    @Override
    int openAttempts() {
        return openAttempts;
    }

    /** Returns a heartbeat without a load, because an entry serves no target. */
    @Override
    Heartbeat.Builder newHeartbeat() {
        return Heartbeat.newBuilder();
    }

    /** Starts an attempt; safe to call from any thread. */
    void dispatch(StageDispatch dispatch, StageListener listener) {
        if (!execute(() -> startAttempt(dispatch, listener))) {
            listener.outcome(refused(ErrorKind.TARGET_UNREACHABLE), link.load());
        }
    }

    private void startAttempt(StageDispatch dispatch, StageListener listener) {
        OutboundAttempt attempt = new OutboundAttempt(dispatch, listener);
        if (closed) {
            notifyListener(attempt, refused(ErrorKind.TARGET_UNREACHABLE));
            return;
        }
        if (attempts.containsKey(dispatch.attempt())) {
            notifyListener(attempt, new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN));
            return;
        }
        if (!context().channel().isWritable() || attempts.size() >= WireLimits.MAX_OPEN_ATTEMPTS) {
            environment().telemetry().count("link_backlog");
            notifyListener(attempt, refused(ErrorKind.OVERLOADED));
            return;
        }
        if (dispatch.body().size() > WireLimits.MAX_FRAME_BYTES - WireLimits.FRAME_OVERHEAD_BYTES) {
            notifyListener(attempt, refused(ErrorKind.BODY_TOO_LARGE));
            return;
        }
        attempts.put(dispatch.attempt(), attempt);
        openAttempts = attempts.size();
        writeDispatch(attempt);
    }

    /**
     * Writes the dispatch. A failed write sends at most a part of the frame, and the agent ignores incomplete frames;
     * the attempt has therefore not run.
     */
    private void writeDispatch(OutboundAttempt attempt) {
        StageDispatch dispatch = attempt.dispatch();
        long revision = environment().config().snapshot().revision();
        context().writeAndFlush(MessageConverter.dispatch(dispatch, revision)).addListener(future -> {
            if (future.isSuccess()) {
                attempt.markWritten();
            } else {
                finish(dispatch.attempt(), refused(ErrorKind.TARGET_UNREACHABLE));
            }
        });
    }

    /**
     * Fails idempotent attempts at a silent agent early enough for a retry on another agent. Non-idempotent attempts
     * keep waiting, because only this agent knows whether they ran.
     */
    @Override
    void onSilence() {
        List<OutboundAttempt> idempotent = attempts.values().stream()
                .filter(attempt -> attempt.dispatch().idempotent())
                .toList();
        for (OutboundAttempt attempt : idempotent) {
            send(MessageConverter.cancel(attempt.dispatch().attempt()));
            finish(attempt.dispatch().attempt(), new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN));
        }
    }

    private static StageRefused refused(ErrorKind kind) {
        return new StageRefused(kind, Duration.ZERO);
    }

    /** Cancels an attempt; safe to call from any thread. */
    void cancel(AttemptId attempt) {
        execute(() -> {
            if (attempts.containsKey(attempt)) {
                send(MessageConverter.cancel(attempt));
            }
        });
    }

    /** Extends the flow-control window of a streaming result; safe to call from any thread. */
    void grant(AttemptId attempt, int bytes) {
        execute(() -> {
            if (attempts.containsKey(attempt)) {
                send(MessageConverter.windowUpdate(attempt, bytes));
            }
        });
    }

    /** Asks the agent for the outcome of an attempt; safe to call from any thread. */
    void seal(AttemptId attempt, Incarnation agent, Consumer<SealOutcome> reply) {
        boolean accepted = execute(() -> {
            if (closed || pendingSeals.size() >= WireLimits.MAX_OPEN_ATTEMPTS) {
                reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN));
                return;
            }
            long id = ++lastSealId;
            pendingSeals.put(id, reply);
            send(MessageConverter.seal(id, attempt, agent));
        });
        if (!accepted) {
            reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN));
        }
    }

    /** Closes the connection once no attempt or seal request is open; safe to call from any thread. */
    void closeWhenIdle() {
        execute(() -> {
            closeWhenIdle = true;
            closeIfIdle();
        });
    }

    private void closeIfIdle() {
        if (closeWhenIdle && attempts.isEmpty() && pendingSeals.isEmpty()) {
            close();
        }
    }

    @Override
    void handleFrame(Frame frame) {
        switch (frame.getMessageCase()) {
            case CHUNK -> handleChunk(frame.getChunk());
            case END -> handleEnd(frame.getEnd());
            case REFUSED -> {
                link.updateLoad(MessageConverter.load(frame.getRefused().getLoad()));
                finish(frame.getRefused().getAttempt(), MessageConverter.refused(frame.getRefused()));
            }
            case FAILED -> {
                link.updateLoad(MessageConverter.load(frame.getFailed().getLoad()));
                finish(frame.getFailed().getAttempt(), MessageConverter.failed(frame.getFailed()));
            }
            case SEAL_REPLY -> handleSealReply(frame.getSealReply());
            case PERMIT_REQUEST -> handlePermitRequest(frame.getPermitRequest());
            default ->
                ConnectionErrors.closeOnViolation(
                        context(), environment().telemetry(), "unexpected frame " + frame.getMessageCase());
        }
    }

    private void handleChunk(Chunk chunk) {
        OutboundAttempt attempt = attempts.get(MessageConverter.attempt(chunk.getAttempt()));
        if (attempt == null || !attempt.dispatch().streaming()) {
            environment().telemetry().count("late_chunk");
            return;
        }
        Payload bytes = MessageConverter.payload(chunk.getBytes());
        if (chunk.getOffset() < 0 || !attempt.assembler().add(chunk.getOffset(), bytes)) {
            environment().telemetry().count("result_too_large");
            AttemptId id = attempt.dispatch().attempt();
            WireEvent.RESULT_TOO_LARGE.log(LOGGER, id, chunk.getOffset() + bytes.size());
            send(MessageConverter.cancel(id));
            finish(id, new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES));
            return;
        }
        try {
            attempt.listener().chunk(chunk.getOffset(), bytes);
        } catch (RuntimeException e) {
            reportListenerFailure(attempt, e);
        }
    }

    private void handleEnd(End end) {
        link.updateLoad(MessageConverter.load(end.getLoad()));
        OutboundAttempt attempt = attempts.get(MessageConverter.attempt(end.getAttempt()));
        if (attempt == null) {
            countLateOutcome();
            return;
        }
        Optional<Payload> result = attempt.dispatch().streaming()
                ? attempt.assembler().assemble(end.getTotalBytes())
                : Optional.of(MessageConverter.payload(end.getResult()));
        if (result.isEmpty()) {
            environment().telemetry().count("incomplete_result");
        }
        finish(
                attempt.dispatch().attempt(),
                result.<StageOutcome>map(whole -> new StageCompleted(whole, end.getServiceMicros()))
                        .orElseGet(() -> new StageFailed(ErrorKind.LINK_LOST, Ran.YES)));
    }

    private void finish(Attempt attempt, StageOutcome outcome) {
        finish(MessageConverter.attempt(attempt), outcome);
    }

    private void finish(AttemptId id, StageOutcome outcome) {
        OutboundAttempt attempt = attempts.remove(id);
        if (attempt == null) {
            countLateOutcome();
            return;
        }
        openAttempts = attempts.size();
        notifyListener(attempt, outcome);
        closeIfIdle();
    }

    private void countLateOutcome() {
        environment().telemetry().count("late_outcome");
    }

    private void notifyListener(OutboundAttempt attempt, StageOutcome outcome) {
        try {
            attempt.listener().outcome(outcome, link.load());
        } catch (RuntimeException e) {
            reportListenerFailure(attempt, e);
        }
    }

    private void reportListenerFailure(OutboundAttempt attempt, RuntimeException cause) {
        environment().telemetry().count("listener_failed");
        WireEvent.LISTENER_FAILED.log(LOGGER, attempt.dispatch().attempt(), cause);
    }

    private void handleSealReply(SealReply reply) {
        Consumer<SealOutcome> receiver = pendingSeals.remove(reply.getSealId());
        if (receiver == null) {
            environment().telemetry().count("late_seal_reply");
            return;
        }
        receiver.accept(MessageConverter.sealOutcome(reply));
        closeIfIdle();
    }

    private void handlePermitRequest(PermitRequest request) {
        permitHandler.request(
                request.getTarget(),
                request.getBytes(),
                decision -> execute(() -> send(Frame.newBuilder()
                        .setPermitReply(PermitReply.newBuilder()
                                .setGranted(decision.granted())
                                .setTermMillis(decision.term().toMillis()))
                        .build())));
    }

    @Override
    void onClose() {
        closed = true;
        link.connectionClosed(this);
        for (OutboundAttempt attempt : List.copyOf(attempts.values())) {
            finish(
                    attempt.dispatch().attempt(),
                    attempt.written()
                            ? new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN)
                            : refused(ErrorKind.TARGET_UNREACHABLE));
        }
        List<Consumer<SealOutcome>> open = List.copyOf(pendingSeals.values());
        pendingSeals.clear();
        open.forEach(reply -> reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN)));
    }
}
