package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.BatchSupport;
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
    static final Duration FULL_PAUSE = Duration.ofMillis(40);

    /** Pause after the server failed or was unreachable. */
    static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Pause after the server had no storage for a result. */
    static final Duration ROOM_PAUSE = Duration.ofMillis(60);

    /** Number of consecutive refusals by a full server after which the pieces of the call are given back. */
    static final int MAX_FULL_ANSWERS = 3;

    /**
     * Time from the start of a call after which its inputs have been read. A server reads them when it starts to
     * process the call, which is immediately if it has only one client. Moving a few megabytes between two zones takes
     * a tenth of this time.
     */
    static final Duration INPUT_READ_TIME = Duration.ofMillis(60);

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final String pool;
    private final TargetRecord server;
    private final StageServerAccount account;
    private final StageReleases releases;
    private final StageCallLog callLog;
    private final WaitingPieces waiting;
    private @Nullable StageCall current;
    private int callsGivenUp;
    private boolean pumpArmed;
    private int fullAnswers;

    StageServerQueue(GatewayContext context, String pool, TargetRecord server) {
        this.context = context;
        this.pool = pool;
        this.server = server;
        this.account = new StageServerAccount(context.scheduler());
        this.waiting = new WaitingPieces(context.scheduler());
        this.callLog = new StageCallLog(context.log(), pool, server.id());
        this.releases = new StageReleases(context, server, account, this::spec, () -> pumpAfter(Duration.ZERO));
    }

    TargetRecord server() {
        return server;
    }

    void add(QueuedPiece piece) {
        waiting.add(List.of(piece));
        pumpAfter(Duration.ZERO);
    }

    /** Cancels a piece that is still queued; a piece in a call ends with the call. */
    void cancel(PieceReceiver receiver, long order) {
        if (waiting.remove(receiver, order)) {
            receiver.outcome(order, new PieceOutcome(PieceOutcome.Kind.LATE, ""));
        }
    }

    void cancelAll(PieceReceiver receiver) {
        waiting.removeAll(receiver);
    }

    /** Returns whether no piece is queued and no call is in progress. */
    boolean idle() {
        return waiting.isEmpty() && current == null && callsGivenUp == 0;
    }

    /**
     * Releases results.
     *
     * @param needed whether the results may be needed again after a failure; if so, they are kept until the server runs
     *     short of storage
     */
    void release(List<String> handles, boolean needed) {
        releases.release(handles, needed);
    }

    /** Returns the time until a piece added now would start, in milliseconds. */
    double backlogMillis() {
        return backlogMillis(waiting.size());
    }

    /** Returns the time until a piece added now would start, in milliseconds, if its request is on time. */
    double onTimeBacklogMillis() {
        return backlogMillis(waiting.onTime());
    }

    private double backlogMillis(int pieces) {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty()) {
            return 0;
        }
        return account.pauseMillis()
                + account.remainingMillis()
                + account.slowness() * BatchSupport.queueMillis(spec.get(), pieces);
    }

    long roomBytes() {
        return spec().map(spec -> account.roomBytes(spec.roomBytes())).orElse(0L);
    }

    private Optional<StagePoolSpec> spec() {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    private void pumpAfter(Duration delay) {
        if (!pumpArmed) {
            pumpArmed = true;
            context.scheduler().schedule(delay, () -> {
                pumpArmed = false;
                pump();
            });
        }
    }

    private void pump() {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty() || current != null) {
            return;
        }
        giveBackUnusable();
        if (waiting.isEmpty()) {
            return;
        }
        double pause = account.pauseMillis();
        if (pause > 0) {
            pumpAfter(Duration.ofMillis((long) Math.ceil(pause)));
            return;
        }
        List<QueuedPiece> batch =
                waiting.take(spec.get(), account.roomBytes(spec.get().roomBytes()));
        if (batch.isEmpty()) {
            pumpAfter(ROOM_PAUSE);
        } else {
            call(spec.get(), batch);
        }
    }

    private void giveBackUnusable() {
        boolean usable = context.view().directory().usable(server);
        List<QueuedPiece> unusable = usable ? waiting.takeExpired() : waiting.takeAll();
        unusable.forEach(piece -> answer(piece, usable ? PieceOutcome.Kind.LATE : PieceOutcome.Kind.NOT_SENT));
    }

    private void call(StagePoolSpec spec, List<QueuedPiece> batch) {
        StageCall call = StageCall.start(context, spec, server, batch, account.slowness(), new CallListener());
        current = call;
        account.callStarted(call.bytes(), call.expectedMillis());
        releases.evictIfShort();
        context.scheduler()
                .schedule(
                        INPUT_READ_TIME,
                        () -> batch.forEach(piece -> piece.receiver().inputsRead(piece.order())));
    }

    /** Moves the queued pieces to other servers because the call in progress is slow. */
    private void slow(StageCall call) {
        account.measuredLate(call.elapsedMillis() / call.expectedMillis());
        moveWaiting();
    }

    /** Moves the pieces of a call to other servers. A late response is still read, since its results occupy storage. */
    private void giveUp(StageCall call, String problem) {
        current = null;
        callsGivenUp++;
        account.callEnded();
        callLog.failed(call, problem);
        giveBack(call.pieces());
        pumpAfter(Duration.ZERO);
    }

    private void ended(StageCall call, CallResult result) {
        account.settled(call.bytes());
        if (call.givenUp()) {
            endedLate(call, result);
        } else {
            current = null;
            account.callEnded();
            endedInTime(call, result);
        }
        pumpAfter(Duration.ZERO);
    }

    /** Handles the response to an abandoned call: its results are released, since other servers produce them. */
    private void endedLate(StageCall call, CallResult result) {
        callsGivenUp--;
        if (result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.OK.code()) {
            account.measuredLate(call.elapsedMillis() / call.expectedMillis());
            try {
                List<PieceOutcome> outcomes = context.protocol()
                        .stages()
                        .decodeRun(answered.body(), call.pieces().size());
                List<String> unused = new ArrayList<>();
                for (int i = 0; i < outcomes.size(); i++) {
                    if (outcomes.get(i).kind() == PieceOutcome.Kind.MADE) {
                        keep(call.spec(), call.pieces().get(i), outcomes.get(i));
                        unused.add(outcomes.get(i).handle());
                    }
                }
                releases.release(unused, false);
            } catch (MasticfoldException e) {
                callLog.failed(call, "malformed late response: " + e.getMessage());
            }
        }
    }

    private void endedInTime(StageCall call, CallResult result) {
        String problem = settleCall(call.spec(), call.pieces(), result);
        if (!problem.isEmpty()) {
            callLog.failed(call, problem);
            return;
        }
        fullAnswers = 0;
        account.measured(call.elapsedMillis() / call.expectedMillis());
        context.telemetry().stage(pool, call.pieces().size(), (long) (call.elapsedMillis() * NANOS_PER_MILLI));
        callLog.made(call, waiting.size(), account.roomBytes(call.spec().roomBytes()));
    }

    /** Handles the result of a call; returns a description of the problem, or an empty string. */
    private String settleCall(StagePoolSpec spec, List<QueuedPiece> batch, CallResult result) {
        if (result instanceof CallResult.Failed failed) {
            giveBack(batch);
            abandon();
            return failed.detail();
        }
        CallResult.Answered answered = (CallResult.Answered) result;
        if (answered.status() == HttpResponseStatus.OK.code()) {
            try {
                List<PieceOutcome> outcomes = context.protocol().stages().decodeRun(answered.body(), batch.size());
                for (int i = 0; i < batch.size(); i++) {
                    settle(spec, batch.get(i), outcomes.get(i));
                }
                return "";
            } catch (MasticfoldException e) {
                giveBack(batch);
                return "malformed response: " + e.getMessage();
            }
        }
        boolean full = answered.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && answered.headers().contains(context.protocol().headers().notExecuted());
        fullAnswers++;
        if (full && fullAnswers < MAX_FULL_ANSWERS) {
            // Another gateway still calls the same server, for a short time; the pieces go back into the queue.
            account.pause(FULL_PAUSE);
            waiting.add(batch);
        } else {
            fullAnswers = 0;
            giveBack(batch);
            abandon();
        }
        return "status " + answered.status();
    }

    private void giveBack(List<QueuedPiece> batch) {
        batch.forEach(piece -> answer(piece, PieceOutcome.Kind.GIVEN_BACK));
    }

    /** Pauses the calls to the server and moves the queued pieces to other servers. */
    private void abandon() {
        account.pause(FAILURE_PAUSE);
        moveWaiting();
    }

    private void moveWaiting() {
        waiting.takeAll().forEach(piece -> answer(piece, PieceOutcome.Kind.NOT_SENT));
    }

    private void settle(StagePoolSpec spec, QueuedPiece piece, PieceOutcome outcome) {
        switch (outcome.kind()) {
            case MADE -> {
                keep(spec, piece, outcome);
                piece.receiver().outcome(piece.order(), outcome);
            }
            case NO_ROOM -> {
                // Results that this gateway does not know of occupy storage, at most for their retention time.
                account.noRoom(spec.roomBytes());
                account.pause(ROOM_PAUSE);
                waiting.add(List.of(piece));
            }
            case LATE, INPUT_GONE, FAILED, GIVEN_BACK, NOT_SENT ->
                piece.receiver().outcome(piece.order(), outcome);
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
    }

    private void keep(StagePoolSpec spec, QueuedPiece piece, PieceOutcome made) {
        account.keep(made.handle(), piece.bytes(), Duration.ofMillis(spec.keepMillis()));
    }

    private static void answer(QueuedPiece piece, PieceOutcome.Kind kind) {
        piece.receiver().outcome(piece.order(), new PieceOutcome(kind, ""));
    }

    /** Handles the events of a call. */
    private final class CallListener implements StageCallListener {

        @Override
        public void slow(StageCall call) {
            StageServerQueue.this.slow(call);
        }

        @Override
        public void answerLost(StageCall call) {
            giveUp(call, "no response; the server is idle");
        }

        @Override
        public void unreachable(StageCall call) {
            giveUp(call, "no response; the server returns no status report");
            abandon();
        }

        @Override
        public void ended(StageCall call, CallResult result) {
            StageServerQueue.this.ended(call, result);
        }
    }
}
