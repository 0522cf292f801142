package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.error.Ran;
import io.masticfold.core.forward.SendOutcome;
import io.masticfold.core.stream.StreamEvent;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerListener;
import io.masticfold.gateway.http.CallerResponse;
import io.masticfold.gateway.http.ConnectionChoice;
import io.masticfold.gateway.http.Exchange;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.protocol.PieceOutcome;
import io.masticfold.gateway.protocol.TargetSignals;
import io.masticfold.gateway.stage.StageRefusal;
import io.masticfold.gateway.stage.StageRunListener;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Runs the stages of one routed request, sends it to a target, retries where that is allowed and responds to the
 * caller. Used by one thread.
 */
final class RequestRun implements CallerListener, StageRunListener {

    /**
     * Time after a send from which the target is assumed to have read the stage results. An engine without a queue
     * reads them within this time.
     */
    private static final Duration ASSUMED_RESULT_READ_TIME = Duration.ofMillis(100);

    /** Event of a send whose arrival shows that the answer goes on after it has begun. */
    private static final int EVENT_OF_A_BEGUN_ANSWER = 2;

    private final GatewayContext context;
    private final RequestServices services;
    private final RoutedRequest routed;
    private final RequestRecorder recorder;
    private final RequestStages stages;
    private final Consumer<RequestRun> onEnd;
    private final FinalResponse response;
    private final @Nullable StreamProgress progress;
    private final StreamWatchdog watchdog;
    private final Deadline deadline;
    private final List<String> suspects;
    private final TargetSelection selection;
    private final StreamVersionBinding binding;
    private final RequestAdmission admission;
    private final SendHistory history = new SendHistory();
    private final ActiveSends sends = new ActiveSends(history);
    private Cancellable timer = Cancellable.NONE;
    private Cancellable hedgeTimer = Cancellable.NONE;
    private List<String> inputs = List.of();
    private boolean ended;

    RequestRun(
            GatewayContext context,
            RequestServices services,
            RoutedRequest routed,
            CallerResponse callerResponse,
            Consumer<RequestRun> onEnd) {
        this.onEnd = onEnd;
        this.context = context;
        this.services = services;
        this.routed = routed;
        this.recorder = new RequestRecorder(context, routed);
        this.response = new FinalResponse(context, callerResponse);
        this.progress =
                routed.route().kind().streaming() ? new StreamProgress(callerResponse, routed.lastEventId()) : null;
        this.deadline = routed.deadline();
        this.selection = new TargetSelection(context, services);
        this.binding = new StreamVersionBinding(routed, services.versions());
        this.suspects = routed.suspects();
        this.admission = new RequestAdmission(services.admission(), routed);
        this.stages = new RequestStages(context, services, routed);
        this.watchdog = new StreamWatchdog(context.scheduler(), routed.route().eventPatience(), this::stalled);
    }

    void start() {
        timer = context.scheduler().schedule(deadline.remaining(context.scheduler()), this::expire);
        binding.whenOriginKnown(this::begin);
    }

    private void begin() {
        if (ended) {
            return;
        }
        Optional<TargetChoice> notResumable = selection.notResumable(routed, binding.requirement());
        if (notResumable.isPresent()) {
            refuse(notResumable.get());
        } else if (routed.route().stages().isEmpty()) {
            sendToTarget();
        } else {
            admission.beforeStages(this::runStages, this::refuse);
        }
    }

    private void runStages() {
        try {
            stages.create(this);
            stages.submit(this);
        } catch (MasticfoldException e) {
            fail(e.kind(), String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void stagesDone(List<String> handles) {
        recorder.recordStagesDone();
        inputs = handles;
        sendToTarget();
    }

    @Override
    public void stagesFailed(PieceOutcome.Kind kind) {
        if (ended) {
            return;
        }
        if (kind == PieceOutcome.Kind.INPUT_GONE && stages.mayRunAgain()) {
            runStages();
        } else {
            fail(
                    kind == PieceOutcome.Kind.LATE ? ErrorKind.STAGE_TIMEOUT : ErrorKind.OVERLOADED,
                    "stage piece was not made: " + kind);
        }
    }

    @Override
    public void stagesRefused(StageRefusal reason, Duration estimatedWait) {
        if (!ended) {
            fail(reason.kind(), reason.detail(), estimatedWait);
        }
    }

    private void sendToTarget() {
        context.pauseGuard().run(() -> {
            if (!ended) {
                admission.beforeSend(history, this::chooseTarget, this::refuse);
            }
        });
    }

    private void chooseTarget() {
        TargetChoice choice = selection.choose(routed, history, binding.requirement(), stages.resultBytesByZone());
        if (choice.target() == null) {
            refuse(choice);
        } else {
            send(services.targets().pool(routed.pool()), choice.target());
        }
    }

    private void refuse(TargetChoice choice) {
        recorder.recordRefusal(choice);
        fail(choice.refusal(), choice.detail(), choice.estimatedWait());
    }

    private void send(TargetPool pool, TargetTracker target) {
        if (history.sends() == 0) {
            pool.budget().deposit();
        }
        history.recordSend();
        pool.recordSend(target);
        recorder.recordSent(target.target(), history.sends(), remaining());
        services.rollouts().recordSent(target.target(), routed.route().name());
        TargetResponseReceiver next = new TargetResponseReceiver(
                context, this, target, routed.metadata().attemptId(), target.tokensToRead(), progress);
        sends.add(next);
        boolean repeatable = routed.route().kind().repeatable();
        Exchange exchange = context.client()
                .send(
                        target.target().address(),
                        services.requestBuilder().build(routed, target.target(), remaining(), inputs, lastEventId()),
                        repeatable ? ConnectionChoice.REUSE : ConnectionChoice.FRESH,
                        next);
        next.started(exchange);
        if (progress != null) {
            progress.sendBegins();
            watchdog.start();
        }
        if (stages.hasRun()) {
            context.scheduler().schedule(ASSUMED_RESULT_READ_TIME, () -> inputsRead(next));
        }
        if (history.sends() == 1) {
            services.hedging()
                    .recordSend(routed)
                    .ifPresent(delay -> hedgeTimer = context.scheduler()
                            .schedule(delay, () -> context.pauseGuard().run(() -> hedge(next))));
        }
    }

    /** Sends the request to a second target if the answer to its first send is late and the limits allow it. */
    private void hedge(TargetResponseReceiver first) {
        if (ended || !sends.contains(first) || first.answering()) {
            return;
        }
        services.hedging()
                .second(
                        services,
                        routed,
                        first.target().target(),
                        history.sends(),
                        remaining(),
                        used -> selection.chooseSecond(routed, used, binding.requirement(), stages.resultBytesByZone()))
                .ifPresent(second -> {
                    recorder.recordHedged(first.target().target(), second.target());
                    send(services.targets().pool(routed.pool()), second);
                });
    }

    private void inputsRead(TargetResponseReceiver current) {
        if (!ended && sends.contains(current)) {
            stages.resultsRead();
        }
    }

    private long lastEventId() {
        return progress == null ? StreamEvent.NO_ID : progress.lastEventId();
    }

    private Duration remaining() {
        return deadline.remaining(context.scheduler());
    }

    /**
     * Called for each event forwarded to the caller; at the first one the target has read all stage results, and the
     * stream is bound to its software version.
     *
     * @param target target that wrote the event
     * @param numberInSend number of the event among those of the current send, from 1
     */
    void eventForwarded(TargetTracker target, int numberInSend) {
        if (numberInSend == EVENT_OF_A_BEGUN_ANSWER) {
            services.quarantine().recordCleared(routed.metadata().sharedPartIds());
        }
        watchdog.progressed();
        if (!recorder.hasFirstEvent()) {
            binding.firstEventFrom(target.target());
            recorder.recordFirstEvent();
            stages.release();
        }
    }

    /** Pauses the watchdog while a slow caller, not the target, holds up the stream. */
    private void pauseWatchdog(boolean paused) {
        if (paused) {
            watchdog.stop();
        } else if (progress != null) {
            watchdog.start();
        }
    }

    private void stalled() {
        if (!ended) {
            sends.latest().ifPresent(active -> active.stalled(routed.route().eventPatience()));
        }
    }

    /** Called when the head of the target's own response has arrived. */
    void responseBegun(TargetTracker target, HttpResponse head) {
        TargetSignals signals = context.protocol().decodeSignals(head.status().code(), head.headers());
        services.limits().recordAnswer(target.target(), signals);
        if (signals.leaving()) {
            context.leavingTargets().accept(target.target());
        }
    }

    /** Called when a target has reported its pace. */
    void paceReported() {
        services.targets().loads().recordPace(routed.pool());
    }

    /**
     * Called when a target has answered, or has sent the first event of a stream.
     *
     * @param tokens prompt tokens that the target had to read first
     * @param inFlight requests that were at the target when the request was sent
     */
    void firstAnswer(TargetTracker target, long tokens, int inFlight, Duration took) {
        services.targets().pool(routed.pool()).recordAnswerTime(target, tokens, inFlight, took);
        boolean warm = target.warmFor(took, context.scheduler().nanoTime());
        services.rollouts().recordAnswer(target.target(), routed.route().name(), tokens, took, warm);
    }

    /** Called when a send was cancelled before its target had answered, or had sent the first event of a stream. */
    void cancelledBeforeAnswer(TargetTracker target, long tokens, Duration lasted) {
        boolean warm = target.warmFor(lasted, context.scheduler().nanoTime());
        services.rollouts().recordCancelled(target.target(), routed.route().name(), tokens, lasted, warm);
    }

    void targetFailed(TargetTracker target, boolean nowSuspect) {
        services.rollouts().recordFailed(target.target(), routed.route().name());
        if (nowSuspect) {
            context.log()
                    .important(GatewayEvent.TARGET_SUSPECT)
                    .addKeyValue("target", target.target().id())
                    .addKeyValue("pool", routed.pool())
                    .log();
        }
    }

    void sendEnded(TargetResponseReceiver endedSend, SendResult result) {
        if (ended) {
            return;
        }
        history.recordOutcome(result.outcome());
        admission.recordAnswer(result.outcome(), endedSend.sinceSent());
        if (result.outcome() == SendOutcome.ANSWERED) {
            sends.cancelOthers(endedSend, context.telemetry());
            services.quarantine().recordCleared(suspects);
            services.hedging().recordAnswer(routed, recorder.sinceFirstSend());
            succeed(result);
            return;
        }
        boolean otherInProgress = sends.failed(endedSend);
        if (result.outcome() == SendOutcome.FAILED) {
            services.quarantine().recordCleared(List.of(routed.requestSuspect()));
        }
        recorder.recordSendFailed(endedSend, result, progress == null ? 0 : progress.forwardedEvents());
        history.recordFailedTarget(endedSend.target().target().id());
        if (result.brokenOff() && endedSend.eventsSeen() < EVENT_OF_A_BEGUN_ANSWER) {
            services.quarantine().recordBrokenOff(endedSend.target().target(), suspects);
        }
        if (ended || otherInProgress) {
            return;
        }
        if (permitResend(result)) {
            context.telemetry().retried(result.outcome().failure());
            sendAgain(result);
        } else {
            giveUp(result);
        }
    }

    private boolean permitResend(SendResult result) {
        if (result.brokenOff() && !services.quarantine().allowsAnotherTarget(suspects)) {
            return false;
        }
        return history.permitResend(
                routed.route(),
                result.outcome(),
                remaining(),
                services.targets().pool(routed.pool()).budget());
    }

    private void sendAgain(SendResult result) {
        boolean stagesRead = recorder.hasFirstEvent() || result.outcome() == SendOutcome.INPUT_GONE;
        if (stagesRead && stages.hasRun()) {
            stages.release();
            if (result.outcome() == SendOutcome.INPUT_GONE && !stages.mayRunAgain()) {
                giveUp(result);
                return;
            }
            runStages();
        } else {
            sendToTarget();
        }
    }

    private void giveUp(SendResult result) {
        TargetResponse targetResponse = result.response();
        if (progress != null && progress.started()) {
            abort(result.outcome().failure(), result.detail());
        } else if (targetResponse == null) {
            fail(result.outcome().failure(), result.detail());
        } else if (response.permits(targetResponse, routed.route().kind(), history.ran())) {
            end();
            response.forward(targetResponse);
            recordEnd(GatewayEvent.REQUEST_FAILED, "target_failed", result.detail());
        } else {
            fail(result.outcome().failure(), result.detail() + " is not forwarded: it promises that nothing has run");
        }
    }

    private void succeed(SendResult result) {
        end();
        services.shutdown()
                .recordCompleted(
                        routed.route().name(),
                        Duration.ofNanos(context.scheduler().nanoTime()
                                - routed.request().receivedNanos()));
        response.complete(result.response());
        recordEnd(GatewayEvent.REQUEST_ANSWERED, "answered", result.detail());
    }

    private void expire() {
        if (ended) {
            return;
        }
        sends.all().stream().filter(TargetResponseReceiver::expired).forEach(silent -> services.rollouts()
                .recordFailed(silent.target().target(), routed.route().name()));
        sends.cancelAll();
        if (progress != null && progress.started()) {
            abort(ErrorKind.STAGE_TIMEOUT, "deadline of the request has passed");
        } else {
            fail(
                    history.ran() == Ran.NO ? ErrorKind.OVERLOADED : ErrorKind.STAGE_TIMEOUT,
                    "deadline of the request has passed");
        }
    }

    private void abort(ErrorKind kind, String detail) {
        end();
        response.abort();
        context.telemetry().refused(kind);
        recordEnd(GatewayEvent.REQUEST_FAILED, kind.code(), detail);
    }

    private void fail(ErrorKind kind, String detail) {
        fail(kind, detail, Duration.ZERO);
    }

    private void fail(ErrorKind kind, String detail, Duration estimatedWait) {
        if (progress != null && progress.started()) {
            abort(kind, detail);
            return;
        }
        end();
        response.refuse(kind, history.ran(), remaining(), estimatedWait, detail);
        recordEnd(
                history.ran() == Ran.NO ? GatewayEvent.REQUEST_REFUSED : GatewayEvent.REQUEST_FAILED,
                kind.code(),
                detail);
    }

    private void end() {
        ended = true;
        timer.cancel();
        hedgeTimer.cancel();
        watchdog.stop();
        stages.release();
        admission.end();
        onEnd.accept(this);
    }

    /** Ends the request if it is quarantined, or parts of its prompt are, unless its answer has begun. */
    void quarantineChanged() {
        if (ended || (progress != null && progress.started())) {
            return;
        }
        services.quarantine().find(suspects).ifPresent(suspect -> {
            sends.cancelAll();
            refuse(TargetSelection.quarantined(suspect));
        });
    }

    /** Refuses the request unless a send to a target is in progress. */
    void refuseUnsent() {
        if (!ended && sends.isEmpty()) {
            fail(ErrorKind.SHUTTING_DOWN, "gateway is stopping");
        }
    }

    /** Answers the request with an error, or breaks its stream off, since the process exits. */
    void endBeforeExit() {
        if (!ended) {
            sends.cancelAll();
            fail(ErrorKind.SHUTTING_DOWN, "gateway exits");
        }
    }

    private void recordEnd(GatewayEvent event, String outcome, String detail) {
        stages.recordTo(recorder);
        recorder.recordEnd(
                event,
                outcome,
                history.ran(),
                history.sends(),
                progress == null ? 0 : progress.forwardedEvents(),
                detail);
    }

    @Override
    public void disconnected() {
        if (ended) {
            return;
        }
        end();
        sends.cancelAll();
        recordEnd(GatewayEvent.REQUEST_CANCELLED, "cancelled", "caller closed its connection");
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (!ended && !sends.isEmpty()) {
            sends.all().forEach(active -> active.setAutoRead(writable));
            pauseWatchdog(!writable);
        }
    }
}
