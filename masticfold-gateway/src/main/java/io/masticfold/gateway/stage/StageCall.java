package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.LateCallDetection;
import io.masticfold.core.time.Cancellable;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.BufferedCall;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.http.ConnectionChoice;
import io.masticfold.gateway.protocol.StagePiece;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs one call to a stage server, and queries the status of the server when the response is late. Not thread-safe. */
final class StageCall {

    /** Added to the longest expected duration of the call to get the response timeout. */
    private static final long RESPONSE_SLACK_MILLIS = 600;

    /** Timeout of a status query; a hundred times the round-trip time between zones. */
    private static final Duration STATUS_QUERY_TIMEOUT = Duration.ofMillis(150);

    /** Interval of status queries; status reports can be some hundred milliseconds old. */
    private static final Duration STATUS_QUERY_INTERVAL = Duration.ofMillis(200);

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final StagePoolSpec spec;
    private final TargetRecord server;
    private final List<QueuedPiece> pieces;
    private final double slowdown;
    private final StageCallListener listener;
    private final long startedNanos;
    private Cancellable statusQuery = Cancellable.NONE;
    private boolean abandoned;
    private boolean ended;

    private StageCall(
            GatewayContext context,
            StagePoolSpec spec,
            TargetRecord server,
            List<QueuedPiece> pieces,
            double slowdown,
            StageCallListener listener) {
        this.context = context;
        this.spec = spec;
        this.server = server;
        this.pieces = List.copyOf(pieces);
        this.slowdown = slowdown;
        this.listener = listener;
        this.startedNanos = context.scheduler().nanoTime();
    }

    /**
     * Starts a call.
     *
     * @param slowdown ratio of measured to expected call duration of the server
     */
    static StageCall start(
            GatewayContext context,
            StagePoolSpec spec,
            TargetRecord server,
            List<QueuedPiece> pieces,
            double slowdown,
            StageCallListener listener) {
        StageCall call = new StageCall(context, spec, server, pieces, slowdown, listener);
        call.send();
        return call;
    }

    private void send() {
        List<StagePiece> items = pieces.stream()
                .map(piece -> piece.toStagePiece(piece.deadline().remaining(context.scheduler())))
                .toList();
        FullHttpRequest request = BufferedCall.request(
                HttpMethod.POST,
                context.protocol().stages().runUri(),
                server.address(),
                context.protocol().stages().encodeRun(items));
        double longestMillis = (spec.maxQueuedCalls() + 1) * spec.expectedCallMillis(spec.maxPiecesPerCall()) * slowdown
                + RESPONSE_SLACK_MILLIS;
        // A late response still names results that occupy storage at the server until their retention time ends.
        Duration responseTimeout = Duration.ofMillis(Math.max((long) longestMillis, spec.resultLifetimeMillis()));
        scheduleStatusQuery(Duration.ofMillis((long) LateCallDetection.queryDelayMillis(expectedMillis(), slowdown)));
        call(request, responseTimeout, this::end);
    }

    private void call(FullHttpRequest request, Duration timeout, Consumer<CallResult> receiver) {
        request.headers().set(context.protocol().headers().expectedTarget(), server.id());
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.address(),
                request,
                ConnectionChoice.REUSE,
                timeout,
                receiver);
    }

    private void scheduleStatusQuery(Duration delay) {
        statusQuery = context.scheduler().schedule(delay, this::queryStatus);
    }

    private void queryStatus() {
        context.telemetry().count("stage_call_late");
        FullHttpRequest request = BufferedCall.request(
                HttpMethod.GET, context.protocol().stages().reportUri(), server.address(), new byte[0]);
        call(request, STATUS_QUERY_TIMEOUT, result -> {
            if (!ended) {
                handleStatus(reportsWork(result));
            }
        });
    }

    /** Returns whether the server reports work in progress; empty if there is no valid report. */
    private Optional<Boolean> reportsWork(CallResult result) {
        if (result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.OK.code()) {
            try {
                return Optional.of(context.protocol()
                        .stages()
                        .decodeReport(answered.body())
                        .hasWork());
            } catch (MasticfoldException e) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    private void handleStatus(Optional<Boolean> hasWork) {
        if (hasWork.isEmpty()) {
            abandoned = true;
            listener.unreachable(this);
        } else if (!hasWork.get()) {
            abandoned = true;
            listener.responseLost(this);
        } else {
            listener.slow(this);
            scheduleStatusQuery(STATUS_QUERY_INTERVAL);
        }
    }

    private void end(CallResult result) {
        ended = true;
        statusQuery.cancel();
        listener.ended(this, result);
    }

    StagePoolSpec spec() {
        return spec;
    }

    List<QueuedPiece> pieces() {
        return pieces;
    }

    /** Returns the total size of the results, in bytes. */
    long resultBytes() {
        return pieces.stream().mapToLong(QueuedPiece::bytes).sum();
    }

    double expectedMillis() {
        return spec.expectedCallMillis(pieces.size());
    }

    double elapsedMillis() {
        return (context.scheduler().nanoTime() - startedNanos) / NANOS_PER_MILLI;
    }

    /** Returns whether the call was abandoned, and its pieces sent elsewhere, before it ended. */
    boolean abandoned() {
        return abandoned;
    }
}
