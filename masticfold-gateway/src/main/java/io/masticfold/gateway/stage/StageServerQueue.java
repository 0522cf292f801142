package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.BatchSupport;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.BufferedCall;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.http.ConnectionChoice;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.protocol.PieceOutcome;
import io.masticfold.gateway.protocol.StagePiece;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Sends the pieces of all gateways to one stage server, one call at a time. Used by one thread. */
final class StageServerQueue {

    /** Pause before a server that was full is called again. */
    static final Duration FULL_PAUSE = Duration.ofMillis(40);

    /** Pause before a server that failed or could not be reached is called again. */
    static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Pause before a server that had no room for a result is called again. */
    static final Duration ROOM_PAUSE = Duration.ofMillis(60);

    /** Room is short when less than this part of it is free. */
    static final int SHORT_ROOM_PART = 2;

    /** Times that a full server is called for the same pieces before they are given back. */
    static final int MAX_FULL_ANSWERS = 3;

    /**
     * Time from the start of a call after which its inputs have been read. A server reads them when the turn of a call
     * comes, which is at once for the only caller; moving a few megabytes between two zones takes a tenth of this.
     */
    static final Duration INPUT_READ_TIME = Duration.ofMillis(60);

    /** Time beyond the longest expected call after which a server counts as silent. */
    private static final long SILENCE_MILLIS = 600;

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final String pool;
    private final TargetRecord server;
    private final StageServerAccount account;
    private final List<QueuedPiece> waiting = new ArrayList<>();
    private boolean calling;
    private boolean pumpArmed;
    private int fullAnswers;

    StageServerQueue(GatewayContext context, String pool, TargetRecord server) {
        this.context = context;
        this.pool = pool;
        this.server = server;
        this.account = new StageServerAccount(context.scheduler());
    }

    TargetRecord server() {
        return server;
    }

    void add(QueuedPiece piece) {
        waiting.add(piece);
        pumpAfter(Duration.ZERO);
    }

    /** Ends a piece that still waits; one that is in a call ends with the call. */
    void cancel(PieceReceiver receiver, long order) {
        boolean removed = waiting.removeIf(piece -> piece.order() == order && piece.receiver() == receiver);
        if (removed) {
            receiver.outcome(order, new PieceOutcome(PieceOutcome.Kind.LATE, ""));
        }
    }

    void cancelAll(PieceReceiver receiver) {
        waiting.removeIf(piece -> piece.receiver() == receiver);
    }

    /** Returns whether no piece waits and no call is in progress. */
    boolean idle() {
        return waiting.isEmpty() && !calling;
    }

    /**
     * Releases results.
     *
     * @param needed whether a failure may still make them needed again; such results are kept until room is short
     */
    void release(List<String> handles, boolean needed) {
        if (needed) {
            account.evictable(handles);
            evictIfShort();
            return;
        }
        handles.forEach(account::release);
        armRelease();
    }

    private void evictIfShort() {
        long total = spec().map(StagePoolSpec::roomBytes).orElse(0L);
        if (account.roomBytes(total) < total / SHORT_ROOM_PART && account.evict()) {
            armRelease();
        }
    }

    private void armRelease() {
        if (!account.releaseArmed()) {
            account.armRelease();
            context.scheduler().schedule(StageServerAccount.RELEASE_DELAY, this::sendRelease);
        }
    }

    /** Returns the time until a piece that is added now would start, in milliseconds. */
    double backlogMillis() {
        return backlogMillis(waiting.size());
    }

    /** Returns the time until a piece of a request that is on time would start, in milliseconds. */
    double onTimeBacklogMillis() {
        long now = context.scheduler().nanoTime();
        return backlogMillis((int)
                waiting.stream().filter(piece -> piece.dueNanos() - now >= 0).count());
    }

    private double backlogMillis(int pieces) {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty()) {
            return 0;
        }
        int calls = pieces / spec.get().batch();
        // A call that is not full yet takes a new piece along.
        double queue = calls * spec.get().expectedMillis(spec.get().batch())
                + pieces % spec.get().batch() * spec.get().pieceMillis();
        return account.pauseMillis() + account.remainingMillis() + account.slowness() * queue;
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
        if (spec.isEmpty() || calling) {
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
        List<QueuedPiece> batch = takeBatch(spec.get());
        if (batch.isEmpty()) {
            pumpAfter(ROOM_PAUSE);
        } else {
            call(spec.get(), batch);
        }
    }

    private void giveBackUnusable() {
        boolean usable = context.view().directory().usable(server);
        List<QueuedPiece> unusable = waiting.stream()
                .filter(piece -> !usable || piece.deadline().expired(context.scheduler()))
                .toList();
        unusable.forEach(piece -> {
            waiting.remove(piece);
            answer(piece, usable ? PieceOutcome.Kind.LATE : PieceOutcome.Kind.GIVEN_BACK);
        });
    }

    private List<QueuedPiece> takeBatch(StagePoolSpec spec) {
        List<QueuedPiece> ordered = new ArrayList<>(waiting);
        ordered.sort(QueuedPiece.orderAt(context.scheduler().nanoTime()));
        int size = BatchSupport.size(
                ordered.stream().map(QueuedPiece::attemptId).toList(),
                ordered.stream().map(QueuedPiece::bytes).toList(),
                spec.batch(),
                account.roomBytes(spec.roomBytes()),
                spec.roomBytes());
        List<QueuedPiece> batch = List.copyOf(ordered.subList(0, size));
        waiting.removeAll(batch);
        return batch;
    }

    private void call(StagePoolSpec spec, List<QueuedPiece> batch) {
        calling = true;
        double expected = spec.expectedMillis(batch.size());
        long bytes = batch.stream().mapToLong(QueuedPiece::bytes).sum();
        account.callStarted(bytes, expected);
        evictIfShort();
        context.scheduler()
                .schedule(
                        INPUT_READ_TIME,
                        () -> batch.forEach(piece -> piece.receiver().inputsRead(piece.order())));
        List<StagePiece> items = batch.stream()
                .map(piece -> piece.item(piece.deadline().remaining(context.scheduler())))
                .toList();
        FullHttpRequest request = BufferedCall.request(
                HttpMethod.POST,
                context.protocol().stages().runUri(),
                server.address(),
                context.protocol().stages().encodeRun(items));
        request.headers().set(context.protocol().headers().expectedTarget(), server.id());
        double longest = (spec.queue() + 1) * spec.expectedMillis(spec.batch()) * account.slowness();
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.address(),
                request,
                ConnectionChoice.REUSE,
                Duration.ofMillis((long) longest + SILENCE_MILLIS),
                result -> ended(spec, batch, bytes, expected, result));
    }

    private void ended(
            StagePoolSpec spec, List<QueuedPiece> batch, long bytes, double expectedMillis, CallResult result) {
        calling = false;
        account.callEnded(bytes);
        String problem = settleCall(spec, batch, result);
        if (problem.isEmpty()) {
            fullAnswers = 0;
            account.measured(expectedMillis);
            context.telemetry().stage(pool, batch.size(), (long) (account.callMillis() * NANOS_PER_MILLI));
            context.log()
                    .routine(GatewayEvent.STAGE_CALLED)
                    .addKeyValue("pool", pool)
                    .addKeyValue("target", server.id())
                    .addKeyValue("pieces", batch.size())
                    .addKeyValue("callMillis", (long) account.callMillis())
                    .addKeyValue("expectedMillis", (long) expectedMillis)
                    .addKeyValue("waiting", waiting.size())
                    .addKeyValue("roomBytes", account.roomBytes(spec.roomBytes()))
                    .log();
        } else {
            context.log()
                    .failure(GatewayEvent.STAGE_CALL_FAILED)
                    .addKeyValue("pool", pool)
                    .addKeyValue("target", server.id())
                    .addKeyValue("pieces", batch.size())
                    .addKeyValue("afterMillis", (long) account.callMillis())
                    .addKeyValue("problem", problem)
                    .log();
        }
        pumpAfter(Duration.ZERO);
    }

    /** Deals with the answer of a call; returns what went wrong, or an empty text. */
    private String settleCall(StagePoolSpec spec, List<QueuedPiece> batch, CallResult result) {
        if (result instanceof CallResult.Failed failed) {
            giveBack(batch, FAILURE_PAUSE);
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
                giveBack(batch, FAILURE_PAUSE);
                return "malformed answer: " + e.getMessage();
            }
        }
        boolean full = answered.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && answered.headers().contains(context.protocol().headers().notExecuted());
        fullAnswers++;
        if (full && fullAnswers < MAX_FULL_ANSWERS) {
            // Another gateway calls the same server for a moment; the pieces keep their place.
            account.pause(FULL_PAUSE);
            waiting.addAll(batch);
        } else {
            fullAnswers = 0;
            giveBack(batch, FAILURE_PAUSE);
        }
        return "status " + answered.status();
    }

    private void giveBack(List<QueuedPiece> batch, Duration pause) {
        account.pause(pause);
        // What waits behind the batch is better off at another server, too.
        List<QueuedPiece> back = new ArrayList<>(batch);
        back.addAll(waiting);
        waiting.clear();
        back.forEach(piece -> answer(piece, PieceOutcome.Kind.GIVEN_BACK));
    }

    private void settle(StagePoolSpec spec, QueuedPiece piece, PieceOutcome outcome) {
        switch (outcome.kind()) {
            case MADE -> {
                account.keep(outcome.handle(), piece.bytes(), Duration.ofMillis(spec.keepMillis()));
                piece.receiver().outcome(piece.order(), outcome);
            }
            case NO_ROOM -> {
                // Results that this gateway does not know of take room; they go within their keep time.
                account.noRoom(spec.roomBytes());
                account.pause(ROOM_PAUSE);
                waiting.add(piece);
            }
            case LATE, INPUT_GONE, FAILED, GIVEN_BACK -> piece.receiver().outcome(piece.order(), outcome);
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
    }

    private static void answer(QueuedPiece piece, PieceOutcome.Kind kind) {
        piece.receiver().outcome(piece.order(), new PieceOutcome(kind, ""));
    }

    private void sendRelease() {
        List<String> handles = account.takeReleased();
        boolean known = context.view().directory().find(server.id()).isPresent();
        if (handles.isEmpty() || !known) {
            return;
        }
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.address(),
                BufferedCall.request(
                        HttpMethod.POST,
                        context.protocol().stages().freeUri(),
                        server.address(),
                        context.protocol().stages().encodeFree(handles)),
                ConnectionChoice.REUSE,
                StageServerAccount.RELEASE_TIMEOUT,
                _result -> {
                    // A result whose release was lost goes by itself after its keep time.
                    account.freed(handles);
                    pumpAfter(Duration.ZERO);
                });
    }
}
