package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageBatching;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.protocol.PieceOutcome;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Queues the pieces of all gateways for one stage server and sends them, one call at a time. Not thread-safe. */
final class StageServerQueue {

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
    private final WaitingPieces waiting;
    private @Nullable StageCall current;
    private int abandonedCalls;
    private boolean sendScheduled;
    private int queueFullResponses;

    StageServerQueue(GatewayContext context, String pool, TargetRecord server) {
        this.context = context;
        this.pool = pool;
        this.server = server;
        this.serverState = new StageServerState(context.scheduler());
        this.waiting = new WaitingPieces(context.scheduler());
        this.callLog = new StageCallLog(context.log(), pool, server.id());
        this.releaser = new ResultReleaser(context, server, serverState, this::spec, () -> scheduleSend(Duration.ZERO));
    }

    TargetRecord server() {
        return server;
    }

    void add(QueuedPiece piece) {
        waiting.add(List.of(piece));
        scheduleSend(Duration.ZERO);
    }

    /** Cancels a piece that is still queued; a piece in a call ends with the call. */
    void cancel(DispatchListener listener, long dispatchId) {
        if (waiting.remove(listener, dispatchId)) {
            listener.completed(dispatchId, new PieceOutcome(PieceOutcome.Kind.LATE, ""));
        }
    }

    void cancelAll(DispatchListener listener) {
        waiting.removeAll(listener);
    }

    /** Returns whether no piece is queued and no call is in progress. */
    boolean idle() {
        return waiting.isEmpty() && current == null && abandonedCalls == 0;
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

    /** Returns the time until a piece added now would start, in milliseconds. */
    double backlogMillis() {
        return backlogMillis(waiting.size());
    }

    /** Returns the time until a piece added now would start, in milliseconds, if its request is on time. */
    double onTimeBacklogMillis() {
        return backlogMillis(waiting.onTimeCount());
    }

    private double backlogMillis(int pieces) {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty()) {
            return 0;
        }
        return serverState.remainingPauseMillis()
                + serverState.remainingCallMillis()
                + serverState.slowdown() * StageBatching.waitMillis(spec.get(), pieces);
    }

    long freeBytes() {
        return spec().map(spec -> serverState.freeBytes(spec.storageBytes())).orElse(0L);
    }

    private Optional<StagePoolSpec> spec() {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    private void scheduleSend(Duration delay) {
        if (!sendScheduled) {
            sendScheduled = true;
            context.scheduler().schedule(delay, () -> {
                sendScheduled = false;
                sendNext();
            });
        }
    }

    private void sendNext() {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty() || current != null) {
            return;
        }
        returnUnusable();
        if (waiting.isEmpty()) {
            return;
        }
        double pause = serverState.remainingPauseMillis();
        if (pause > 0) {
            scheduleSend(Duration.ofMillis((long) Math.ceil(pause)));
            return;
        }
        List<QueuedPiece> batch =
                waiting.takeBatch(spec.get(), serverState.freeBytes(spec.get().storageBytes()));
        if (batch.isEmpty()) {
            scheduleSend(NO_STORAGE_PAUSE);
        } else {
            call(spec.get(), batch);
        }
    }

    private void returnUnusable() {
        boolean usable = context.view().directory().usable(server);
        List<QueuedPiece> unusable = usable ? waiting.takeExpired() : waiting.takeAll();
        unusable.forEach(piece -> complete(piece, usable ? PieceOutcome.Kind.LATE : PieceOutcome.Kind.NOT_SENT));
    }

    private void call(StagePoolSpec spec, List<QueuedPiece> batch) {
        StageCall call = StageCall.start(context, spec, server, batch, serverState.slowdown(), new CallListener());
        current = call;
        serverState.callStarted(call.resultBytes(), call.expectedMillis());
        releaser.evictIfLowOnStorage();
        context.scheduler()
                .schedule(
                        ASSUMED_INPUT_READ_TIME,
                        () -> batch.forEach(piece -> piece.listener().inputsRead(piece.dispatchId())));
    }

    /** Moves the queued pieces to other servers because the call in progress is slow. */
    private void callSlow(StageCall call) {
        serverState.recordLateDuration(call.elapsedMillis() / call.expectedMillis());
        moveQueued();
    }

    /** Moves the pieces of a call to other servers. A late response is still read, since its results occupy storage. */
    private void abandonCall(StageCall call, String problem) {
        current = null;
        abandonedCalls++;
        serverState.callEnded();
        callLog.failed(call, problem);
        giveBack(call.pieces());
        scheduleSend(Duration.ZERO);
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
        scheduleSend(Duration.ZERO);
    }

    /** Handles the response to an abandoned call: its results are released, since other servers produce them. */
    private void handleLateResult(StageCall call, CallResult result) {
        abandonedCalls--;
        if (result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.OK.code()) {
            serverState.recordLateDuration(call.elapsedMillis() / call.expectedMillis());
            try {
                List<PieceOutcome> outcomes = context.protocol()
                        .stages()
                        .decodeRun(answered.body(), call.pieces().size());
                List<String> unused = new ArrayList<>();
                for (int i = 0; i < outcomes.size(); i++) {
                    if (outcomes.get(i).kind() == PieceOutcome.Kind.MADE) {
                        recordResult(call.spec(), call.pieces().get(i), outcomes.get(i));
                        unused.add(outcomes.get(i).handle());
                    }
                }
                releaser.release(unused, false);
            } catch (MasticfoldException e) {
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
        serverState.recordDuration(call.elapsedMillis() / call.expectedMillis());
        context.telemetry().stage(pool, call.pieces().size(), (long) (call.elapsedMillis() * NANOS_PER_MILLI));
        callLog.succeeded(
                call, waiting.size(), serverState.freeBytes(call.spec().storageBytes()));
    }

    /** Handles the result of a call; returns a description of the problem, or an empty string. */
    private String handleResult(StagePoolSpec spec, List<QueuedPiece> batch, CallResult result) {
        if (result instanceof CallResult.Failed failed) {
            giveBack(batch);
            backOff();
            return failed.detail();
        }
        CallResult.Answered answered = (CallResult.Answered) result;
        if (answered.status() == HttpResponseStatus.OK.code()) {
            try {
                List<PieceOutcome> outcomes = context.protocol().stages().decodeRun(answered.body(), batch.size());
                for (int i = 0; i < batch.size(); i++) {
                    handleOutcome(spec, batch.get(i), outcomes.get(i));
                }
                return "";
            } catch (MasticfoldException e) {
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
            waiting.add(batch);
        } else {
            queueFullResponses = 0;
            giveBack(batch);
            backOff();
        }
        return "status " + answered.status();
    }

    private void giveBack(List<QueuedPiece> batch) {
        batch.forEach(piece -> complete(piece, PieceOutcome.Kind.GIVEN_BACK));
    }

    /** Pauses the calls to the server and moves the queued pieces to other servers. */
    private void backOff() {
        serverState.pause(FAILURE_PAUSE);
        moveQueued();
    }

    private void moveQueued() {
        waiting.takeAll().forEach(piece -> complete(piece, PieceOutcome.Kind.NOT_SENT));
    }

    private void handleOutcome(StagePoolSpec spec, QueuedPiece piece, PieceOutcome outcome) {
        switch (outcome.kind()) {
            case MADE -> {
                recordResult(spec, piece, outcome);
                piece.listener().completed(piece.dispatchId(), outcome);
            }
            case NO_ROOM -> {
                // Results that this gateway does not know of occupy storage, at most for their retention time.
                serverState.recordNoStorage(spec.storageBytes());
                serverState.pause(NO_STORAGE_PAUSE);
                waiting.add(List.of(piece));
            }
            case LATE, INPUT_GONE, FAILED, GIVEN_BACK, NOT_SENT ->
                piece.listener().completed(piece.dispatchId(), outcome);
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
    }

    private void recordResult(StagePoolSpec spec, QueuedPiece piece, PieceOutcome made) {
        serverState.addResult(made.handle(), piece.bytes(), Duration.ofMillis(spec.resultLifetimeMillis()));
    }

    private static void complete(QueuedPiece piece, PieceOutcome.Kind kind) {
        piece.listener().completed(piece.dispatchId(), new PieceOutcome(kind, ""));
    }

    /** Handles the events of a call. */
    private final class CallListener implements StageCallListener {

        @Override
        public void slow(StageCall call) {
            StageServerQueue.this.callSlow(call);
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
            StageServerQueue.this.handleResult(call, result);
        }
    }
}
