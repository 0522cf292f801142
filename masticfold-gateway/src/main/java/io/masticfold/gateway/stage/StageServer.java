package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageServerLoad;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.protocol.PieceOutcome;
import io.masticfold.gateway.protocol.TargetSignals;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Calls one stage server, one call at a time, and tracks its storage, its speed and its failures. Not thread-safe.
 *
 * <p>The pieces wait in the {@link StagePoolQueue} of the server's partition.
 */
final class StageServer {

    /** Pause after the server refused a call because its queue was full. */
    static final Duration QUEUE_FULL_PAUSE = Duration.ofMillis(40);

    /** Pause after the server failed or was unreachable. */
    static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Pause after the server had no storage for a result. */
    static final Duration NO_STORAGE_PAUSE = Duration.ofMillis(60);

    /** Number of refusals by a full server, since its last successful call, after which pieces are given back. */
    static final int MAX_QUEUE_FULL_RESPONSES = 3;

    /**
     * Time from the start of a call after which the server is assumed to have read its inputs. A server reads them
     * when it starts to process the call, which is immediately if it has only one client. Moving a few megabytes
     * between two zones takes a tenth of this time.
     */
    static final Duration ASSUMED_INPUT_READ_TIME = Duration.ofMillis(60);

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final String pool;
    private final TargetRecord server;
    private final StageServerState serverState;
    private final ResultReleaser releaser;
    private final StageCallLog callLog;
    private final StageServerListener listener;
    private @Nullable StageCall current;
    private int abandonedCalls;
    private int queueFullResponses;

    StageServer(
            GatewayContext context,
            String pool,
            TargetRecord server,
            ServerPauses.Pause pause,
            StageServerListener listener) {
        this.context = context;
        this.pool = pool;
        this.server = server;
        this.listener = listener;
        this.serverState = new StageServerState(context.scheduler(), pause);
        this.callLog = new StageCallLog(context.log(), pool, server.id());
        this.releaser = new ResultReleaser(context, server, serverState, this::spec, listener::serverChanged);
    }

    TargetRecord server() {
        return server;
    }

    /** Returns whether no call is in progress, not even one whose pieces were sent elsewhere. */
    boolean idle() {
        return current == null && abandonedCalls == 0;
    }

    /** Returns whether the server can take a call now. */
    boolean ready() {
        return current == null && serverState.remainingPauseMillis() <= 0;
    }

    /** Returns the time until the server takes calls again after a refusal or a failure, in milliseconds. */
    double pauseMillis() {
        return serverState.remainingPauseMillis();
    }

    /** Returns the state of the server for the next plan. */
    StageServerLoad load() {
        return new StageServerLoad(
                server.id(),
                server.zone(),
                serverState.remainingPauseMillis() + serverState.remainingCallMillis(),
                serverState.slowdown(),
                freeBytes());
    }

    /**
     * Releases results.
     *
     * @param mayBeNeeded whether the results may be needed again after a failure; if so, they are kept until the server
     *     runs short of storage
     */
    void release(List<String> handles, boolean mayBeNeeded) {
        releaser.release(handles, mayBeNeeded);
    }

    long freeBytes() {
        return spec().map(spec -> serverState.freeBytes(spec.storageBytes())).orElse(0L);
    }

    private Optional<StagePoolSpec> spec() {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    /** Sends a call with a batch of pieces. The server must be {@link #ready()}. */
    void call(StagePoolSpec spec, List<QueuedPiece> batch) {
        StageCall call = StageCall.start(context, spec, server, batch, serverState.slowdown(), new CallListener());
        current = call;
        serverState.callStarted(call.resultBytes(), call.expectedMillis());
        releaser.evictIfLowOnStorage();
        context.scheduler()
                .schedule(
                        ASSUMED_INPUT_READ_TIME,
                        () -> batch.forEach(piece -> piece.listener().inputsRead(piece.dispatchId())));
    }

    private void callSlow(StageCall call) {
        serverState.recordLateDuration(call.elapsedMillis(), call.expectedMillis());
        listener.serverChanged();
    }

    /** Moves the pieces of a call to other servers. A late response is still read, since its results occupy storage. */
    private void abandonCall(StageCall call, String problem) {
        current = null;
        abandonedCalls++;
        serverState.callEnded();
        callLog.failed(call, problem);
        giveBack(call.pieces());
        listener.serverChanged();
    }

    private void handleResult(StageCall call, CallResult result) {
        serverState.callResolved(call.resultBytes());
        if (call.abandoned()) {
            handleLateResult(call, result);
        } else {
            current = null;
            serverState.callEnded();
            handleTimelyResult(call, result);
        }
        listener.serverChanged();
    }

    /** Handles the response to an abandoned call: its results are released, since other servers produce them. */
    private void handleLateResult(StageCall call, CallResult result) {
        abandonedCalls--;
        if (result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.OK.code()) {
            serverState.recordLateDuration(call.elapsedMillis(), call.expectedMillis());
            try {
                List<PieceOutcome> outcomes = context.protocol()
                        .stages()
                        .decodeRun(answered.body(), call.pieces().size());
                if (isCopy(answered, outcomes)) {
                    closeConnection(result);
                    callLog.failed(call, "late copy of the answer to an earlier call");
                    return;
                }
                List<String> unused = new ArrayList<>();
                for (int i = 0; i < outcomes.size(); i++) {
                    if (outcomes.get(i).kind() == PieceOutcome.Kind.MADE) {
                        recordResult(call.spec(), call.pieces().get(i), outcomes.get(i));
                        unused.add(outcomes.get(i).handle());
                    }
                }
                releaser.release(unused, false);
            } catch (MasticfoldException e) {
                closeConnection(result);
                callLog.failed(call, "malformed late response: " + e.getMessage());
            }
        }
    }

    private void handleTimelyResult(StageCall call, CallResult result) {
        String problem = handleResult(call.spec(), call.pieces(), result);
        if (!problem.isEmpty()) {
            callLog.failed(call, problem);
            return;
        }
        queueFullResponses = 0;
        serverState.recordDuration(call.elapsedMillis(), call.expectedMillis());
        context.telemetry().stage(pool, call.pieces().size(), (long) (call.elapsedMillis() * NANOS_PER_MILLI));
        callLog.succeeded(
                call,
                listener.waitingPieces(),
                serverState.freeBytes(call.spec().storageBytes()));
    }

    /** Handles the result of a call; returns a description of the problem, or an empty string. */
    private String handleResult(StagePoolSpec spec, List<QueuedPiece> batch, CallResult result) {
        if (result instanceof CallResult.Failed failed) {
            giveBack(batch);
            backOff();
            return failed.detail();
        }
        CallResult.Answered answered = (CallResult.Answered) result;
        if (answered.status() != HttpResponseStatus.OK.code()) {
            closeConnection(result);
        }
        recordSignals(context.protocol().decodeSignals(answered.status(), answered.headers()));
        if (answered.status() == HttpResponseStatus.OK.code()) {
            try {
                List<PieceOutcome> outcomes = context.protocol().stages().decodeRun(answered.body(), batch.size());
                boolean copy = isCopy(answered, outcomes);
                if (copy || outcomes.stream().noneMatch(outcome -> outcome.kind() == PieceOutcome.Kind.MADE)) {
                    closeConnection(result);
                }
                if (copy) {
                    giveBack(batch);
                    return "copy of the answer to an earlier call";
                }
                for (int i = 0; i < batch.size(); i++) {
                    handleOutcome(spec, batch.get(i), outcomes.get(i));
                }
                return "";
            } catch (MasticfoldException e) {
                closeConnection(result);
                giveBack(batch);
                return "malformed response: " + e.getMessage();
            }
        }
        boolean full = answered.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && answered.headers().contains(context.protocol().headers().notExecuted());
        queueFullResponses++;
        if (full && queueFullResponses < MAX_QUEUE_FULL_RESPONSES) {
            // Another gateway still calls the same server, for a short time; the pieces go back into the queue.
            serverState.pause(QUEUE_FULL_PAUSE);
            listener.requeue(batch);
        } else {
            queueFullResponses = 0;
            giveBack(batch);
            backOff();
        }
        return "status " + answered.status();
    }

    /**
     * Returns whether an answer is a late copy of that to an earlier call on its connection: each result has a handle
     * of its own, which is received once.
     */
    private static boolean isCopy(CallResult.Answered answered, List<PieceOutcome> outcomes) {
        return !answered.exchange()
                .recordDelivered(outcomes.stream()
                        .filter(outcome -> outcome.kind() == PieceOutcome.Kind.MADE)
                        .map(PieceOutcome::handle)
                        .toList());
    }

    /**
     * Closes the connection of an answer that may be a copy of an earlier one: the answer to the call may follow, and
     * nothing in it names the call.
     */
    private static void closeConnection(CallResult result) {
        if (result instanceof CallResult.Answered answered) {
            answered.exchange().cancel();
        }
    }

    private void recordSignals(TargetSignals signals) {
        signals.malformed().forEach(defect -> context.telemetry().count(defect.counter()));
        signals.limit().ifPresent(serverState::pauseForLimit);
        serverState.pauseAsAsked(signals.pause());
        if (signals.leaving()) {
            context.leavingTargets().accept(server);
        }
    }

    private void giveBack(List<QueuedPiece> batch) {
        batch.forEach(piece -> complete(piece, new PieceOutcome(PieceOutcome.Kind.GIVEN_BACK, "")));
    }

    private void backOff() {
        serverState.pause(FAILURE_PAUSE);
    }

    private void handleOutcome(StagePoolSpec spec, QueuedPiece piece, PieceOutcome outcome) {
        switch (outcome.kind()) {
            case MADE -> {
                recordResult(spec, piece, outcome);
                complete(piece, outcome);
            }
            case NO_ROOM -> {
                // Results that this gateway does not know of occupy storage, at most for their retention time.
                serverState.recordNoStorage(spec.storageBytes());
                serverState.pause(NO_STORAGE_PAUSE);
                listener.requeue(List.of(piece));
            }
            case LATE, INPUT_GONE, FAILED, GIVEN_BACK, NOT_SENT -> complete(piece, outcome);
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
    }

    private void recordResult(StagePoolSpec spec, QueuedPiece piece, PieceOutcome made) {
        serverState.addResult(made.handle(), piece.bytes(), Duration.ofMillis(spec.resultLifetimeMillis()));
    }

    private void complete(QueuedPiece piece, PieceOutcome outcome) {
        piece.listener().completed(piece.dispatchId(), outcome, new PieceLocation(server.id(), server.zone()));
    }

    /** Handles the events of a call. */
    private final class CallListener implements StageCallListener {

        @Override
        public void slow(StageCall call) {
            StageServer.this.callSlow(call);
        }

        @Override
        public void responseLost(StageCall call) {
            abandonCall(call, "no response; the server is idle");
        }

        @Override
        public void unreachable(StageCall call) {
            abandonCall(call, "no response; the server returns no status report");
            backOff();
        }

        @Override
        public void ended(StageCall call, CallResult result) {
            StageServer.this.handleResult(call, result);
        }
    }
}
