package io.masticfold.gateway.stage;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.stage.StagePlacement;
import io.masticfold.core.stage.StageServerLoad;
import io.masticfold.core.target.TargetRecord;
import io.masticfold.gateway.GatewayContext;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Collects the pieces that wait for one stage pool and sends them in calls. Used by one thread. */
final class StagePool {

    /** Most sends of one piece. */
    static final int MAX_SENDS = 3;

    /** Pause before a server that was full is called again. */
    static final Duration FULL_PAUSE = Duration.ofMillis(60);

    /** Pause before a server that failed or could not be reached is called again. */
    static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Pause before a server that had no room for results is called again. */
    static final Duration ROOM_PAUSE = Duration.ofMillis(100);

    /** Time after which waiting pieces are looked at again without another cause. */
    private static final Duration RECHECK = Duration.ofMillis(50);

    /** Time that results are collected before their server is told to release them. */
    private static final Duration RELEASE_DELAY = Duration.ofMillis(5);

    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /** Time beyond the longest expected call after which a server counts as silent. */
    private static final long SILENCE_MILLIS = 600;

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final String name;
    private final RetryBudget budget;
    private final TreeSet<PendingPiece> waiting =
            new TreeSet<>(PendingPiece.ORDER.thenComparing(System::identityHashCode));
    private final Map<String, StageServer> servers = new HashMap<>();
    private boolean recheckArmed;

    StagePool(GatewayContext context, String name, RetryBudget budget) {
        this.context = context;
        this.name = name;
        this.budget = budget;
    }

    void add(PendingPiece piece) {
        waiting.add(piece);
        schedulePump();
    }

    void cancel(PendingPiece piece) {
        piece.cancelled = true;
        waiting.remove(piece);
    }

    void release(StageResult result) {
        StageServer server = result.server();
        if (server.release(result)) {
            context.scheduler().schedule(RELEASE_DELAY, () -> sendRelease(server));
        }
    }

    /** Looks at the waiting pieces soon, so that pieces that arrive together share a call. */
    private void schedulePump() {
        if (!recheckArmed) {
            recheckArmed = true;
            context.scheduler().schedule(Duration.ZERO, () -> {
                recheckArmed = false;
                pump();
            });
        }
    }

    private void pump() {
        Optional<StagePoolSpec> spec = spec();
        if (spec.isEmpty()) {
            return;
        }
        dropExpired();
        while (!waiting.isEmpty() && sendNext(spec.get())) {
            // Another server may take the rest.
        }
        if (!waiting.isEmpty() && !recheckArmed) {
            recheckArmed = true;
            context.scheduler().schedule(RECHECK, () -> {
                recheckArmed = false;
                pump();
            });
        }
    }

    private Optional<StagePoolSpec> spec() {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(name))
                .flatMap(pool -> Optional.ofNullable(pool.stage()));
    }

    private void dropExpired() {
        List<PendingPiece> late = waiting.stream()
                .filter(piece -> piece.deadline.expired(context.scheduler()))
                .toList();
        late.forEach(piece -> {
            waiting.remove(piece);
            piece.listener.failed(PieceOutcome.Kind.LATE);
        });
    }

    private boolean sendNext(StagePoolSpec spec) {
        List<TargetRecord> targets = context.view().directory().usable(name);
        servers.values().removeIf(server -> !context.view().directory().usable(server.target()));
        long now = context.scheduler().nanoTime();
        boolean anyInZone = targets.stream().anyMatch(this::inZone);
        List<StageServerLoad> loads = targets.stream()
                .map(target -> server(target, now).load(spec, home(target, anyInZone), now))
                .toList();
        Optional<StageServerLoad> choice = StagePlacement.choose(spec, loads, waiting.size(), waiting.first().bytes);
        choice.ifPresent(load -> send(spec, servers.get(load.id()), load.roomBytes()));
        return choice.isPresent();
    }

    private boolean inZone(TargetRecord target) {
        return target.zone().equals(context.settings().zone());
    }

    private boolean home(TargetRecord target, boolean anyInZone) {
        return !anyInZone || inZone(target);
    }

    private StageServer server(TargetRecord target, long now) {
        StageServer known = servers.get(target.id());
        if (known != null && known.target().sameIncarnation(target)) {
            return known;
        }
        StageServer fresh = new StageServer(target, now);
        servers.put(target.id(), fresh);
        return fresh;
    }

    private void send(StagePoolSpec spec, StageServer server, long roomBytes) {
        List<PendingPiece> batch = takeBatch(spec.batch(), roomBytes);
        long bytes = batch.stream().mapToLong(piece -> piece.bytes).sum();
        double expected = spec.expectedMillis(batch.size());
        long now = context.scheduler().nanoTime();
        server.callStarted(bytes, expected, now);
        batch.forEach(piece -> countSend(piece));
        List<StagePiece> items = batch.stream().map(piece -> item(piece)).toList();
        FullHttpRequest request = BufferedCall.request(
                HttpMethod.POST,
                context.protocol().stages().runUri(),
                server.target().address(),
                context.protocol().stages().encodeRun(items));
        request.headers()
                .set(
                        context.protocol().headers().expectedTarget(),
                        server.target().id());
        long timeout = (long) ((spec.queue() + 1) * spec.expectedMillis(spec.batch()) + expected) + SILENCE_MILLIS;
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.target().address(),
                request,
                ConnectionChoice.REUSE,
                Duration.ofMillis(timeout),
                result -> ended(server, batch, bytes, expected, now, result));
    }

    private List<PendingPiece> takeBatch(int most, long roomBytes) {
        List<PendingPiece> batch = new ArrayList<>();
        long room = roomBytes;
        for (PendingPiece piece : waiting) {
            if (batch.size() == most || piece.bytes > room) {
                break;
            }
            batch.add(piece);
            room -= piece.bytes;
        }
        batch.forEach(waiting::remove);
        return batch;
    }

    private void countSend(PendingPiece piece) {
        if (piece.sends == 0) {
            budget.earn();
        }
        piece.sends++;
    }

    private StagePiece item(PendingPiece piece) {
        return new StagePiece(
                piece.attemptId,
                piece.stage,
                piece.piece,
                piece.deadline.remaining(context.scheduler()).toMillis(),
                piece.key,
                piece.inputs);
    }

    private void ended(
            StageServer server,
            List<PendingPiece> batch,
            long bytes,
            double expected,
            long startedNanos,
            CallResult result) {
        server.callEnded(bytes);
        double millis = (context.scheduler().nanoTime() - startedNanos) / NANOS_PER_MILLI;
        String problem = outcomes(server, batch, result);
        if (problem.isEmpty()) {
            server.measured(expected, millis);
        } else {
            context.log()
                    .failure(GatewayEvent.STAGE_CALL_FAILED)
                    .addKeyValue("pool", name)
                    .addKeyValue("target", server.target().id())
                    .addKeyValue("pieces", batch.size())
                    .addKeyValue("afterMillis", (long) millis)
                    .addKeyValue("problem", problem)
                    .log();
        }
        schedulePump();
    }

    /** Deals with the answer of a call; returns what went wrong, or an empty text. */
    private String outcomes(StageServer server, List<PendingPiece> batch, CallResult result) {
        long now = context.scheduler().nanoTime();
        if (result instanceof CallResult.Failed failed) {
            server.refuse(FAILURE_PAUSE, now);
            batch.forEach(piece -> again(piece, PieceOutcome.Kind.FAILED));
            return failed.detail();
        }
        CallResult.Answered answered = (CallResult.Answered) result;
        if (answered.status() != HttpResponseStatus.OK.code()) {
            boolean notRun =
                    answered.headers().contains(context.protocol().headers().notExecuted())
                            || answered.status() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
            server.refuse(notRun ? FULL_PAUSE : FAILURE_PAUSE, now);
            batch.forEach(piece -> again(piece, PieceOutcome.Kind.FAILED));
            return "status " + answered.status();
        }
        try {
            List<PieceOutcome> outcomes = context.protocol().stages().decodeRun(answered.body(), batch.size());
            for (int i = 0; i < batch.size(); i++) {
                settle(server, batch.get(i), outcomes.get(i), now);
            }
            return "";
        } catch (MasticfoldException e) {
            server.refuse(FAILURE_PAUSE, now);
            batch.forEach(piece -> again(piece, PieceOutcome.Kind.FAILED));
            return "malformed answer: " + e.getMessage();
        }
    }

    private void settle(StageServer server, PendingPiece piece, PieceOutcome outcome, long now) {
        switch (outcome.kind()) {
            case MADE -> {
                StageResult result = new StageResult(outcome.handle(), server, piece.bytes);
                server.keep(result);
                if (piece.cancelled) {
                    release(result);
                } else {
                    piece.listener.made(result);
                }
            }
            case NO_ROOM -> {
                server.refuse(ROOM_PAUSE, now);
                again(piece, outcome.kind());
            }
            case FAILED -> again(piece, outcome.kind());
            case LATE, INPUT_GONE -> {
                if (!piece.cancelled) {
                    piece.listener.failed(outcome.kind());
                }
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome.kind());
        }
    }

    private void again(PendingPiece piece, PieceOutcome.Kind kind) {
        if (piece.cancelled) {
            return;
        }
        if (piece.sends < MAX_SENDS && budget.spend()) {
            context.telemetry().retried(ErrorKind.TARGET_FAILED);
            waiting.add(piece);
        } else {
            piece.listener.failed(kind);
        }
    }

    private void sendRelease(StageServer server) {
        List<String> handles = server.takeReleased();
        if (handles.isEmpty()
                || !context.view().directory().find(server.target().id()).isPresent()) {
            return;
        }
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.target().address(),
                BufferedCall.request(
                        HttpMethod.POST,
                        context.protocol().stages().freeUri(),
                        server.target().address(),
                        context.protocol().stages().encodeFree(handles)),
                ConnectionChoice.REUSE,
                RELEASE_TIMEOUT,
                // A result whose release was lost ends by itself after its keep time.
                _result -> schedulePump());
    }
}
