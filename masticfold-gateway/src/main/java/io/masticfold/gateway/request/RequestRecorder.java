package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.stage.StageRun;
import java.time.Duration;
import java.util.Locale;

/** Records when a request reached each step and writes its final log line and metrics. Used by one thread. */
final class RequestRecorder {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NOT_REACHED = -1;

    private final GatewayContext context;
    private final RoutedRequest routed;
    private long stagesBegunMillis = NOT_REACHED;
    private long stagesExpectedMillis = NOT_REACHED;
    private long stagesDoneMillis = NOT_REACHED;
    private long sentMillis = NOT_REACHED;
    private long firstSentNanos;
    private long firstEventMillis = NOT_REACHED;

    RequestRecorder(GatewayContext context, RoutedRequest routed) {
        this.context = context;
        this.routed = routed;
    }

    /** Records when the stages began and how long they were expected to take; has no effect before they begin. */
    void recordStages(StageRun run) {
        Duration expected = run.expectedTime();
        if (expected != null) {
            stagesBegunMillis = sinceStart(run.begunNanos());
            stagesExpectedMillis = expected.toMillis();
        }
    }

    void recordStagesDone() {
        stagesDoneMillis = sinceStart();
    }

    /** Records that the request is sent to a target, and logs it. */
    void recordSent(TargetRecord target, int send, Duration left) {
        sentMillis = sinceStart();
        if (send == 1) {
            firstSentNanos = context.scheduler().nanoTime();
        }
        context.log()
                .routine(GatewayEvent.REQUEST_SENT)
                .addKeyValue("request", routed.metadata().attemptId())
                .addKeyValue("target", target.id())
                .addKeyValue("version", target.softwareVersion())
                .addKeyValue("resumes", routed.metadata().resumedAttempt())
                .addKeyValue("send", send)
                .addKeyValue("leftMillis", left.toMillis())
                .addKeyValue("fingerprint", routed.fingerprint())
                .addKeyValue("promptParts", routed.loggedPromptParts())
                .log();
    }

    /**
     * Logs that a send has failed.
     *
     * @param events number of events that the caller has received from all sends
     */
    void recordSendFailed(TargetResponseReceiver send, SendResult result, int events) {
        context.log()
                .important(GatewayEvent.SEND_FAILED)
                .addKeyValue("request", routed.metadata().attemptId())
                .addKeyValue("target", send.target().target().id())
                .addKeyValue("version", send.target().target().softwareVersion())
                .addKeyValue("outcome", result.outcome())
                .addKeyValue("detail", result.detail())
                .addKeyValue("exchange", result.failure() == null ? "RESPONDED" : result.failure())
                .addKeyValue("events", events)
                .addKeyValue("begun", send.answering())
                .addKeyValue("sendEvents", send.eventsSeen())
                .addKeyValue("fingerprint", routed.fingerprint())
                .addKeyValue("promptParts", routed.loggedPromptParts())
                .log();
    }

    /** Logs that the request is sent to a second target while its first send is in progress. */
    void recordHedged(TargetRecord first, TargetRecord second) {
        context.log()
                .routine(GatewayEvent.REQUEST_HEDGED)
                .addKeyValue("request", routed.metadata().attemptId())
                .addKeyValue("first", first.id())
                .addKeyValue("second", second.id())
                .addKeyValue("afterMillis", sinceStart() - sentMillis)
                .log();
    }

    /** Logs that a stream does not go on, if that is the reason of a refusal. */
    void recordRefusal(TargetChoice refusal) {
        if (refusal.refusal() != ErrorKind.STREAM_ORIGIN_UNKNOWN
                && refusal.refusal() != ErrorKind.STREAM_VERSION_GONE) {
            return;
        }
        context.telemetry().count(refusal.refusal().code());
        context.log()
                .important(GatewayEvent.STREAM_NOT_RESUMED)
                .addKeyValue("request", routed.metadata().attemptId())
                .addKeyValue("resumes", routed.metadata().resumedAttempt())
                .addKeyValue("lastEventId", routed.metadata().lastEventId())
                .addKeyValue("reason", refusal.refusal().code())
                .addKeyValue("detail", refusal.detail())
                .log();
    }

    /** Returns the time since the request was first sent to a target. */
    Duration sinceFirstSend() {
        return Duration.ofNanos(context.scheduler().nanoTime() - firstSentNanos);
    }

    void recordFirstEvent() {
        firstEventMillis = sinceStart();
    }

    boolean hasFirstEvent() {
        return firstEventMillis != NOT_REACHED;
    }

    /** Writes the final log line and metrics of the request. */
    void recordEnd(GatewayEvent event, String outcome, Ran ran, int sends, int events, String detail) {
        context.telemetry()
                .request(
                        routed.route().kind().name().toLowerCase(Locale.ROOT),
                        outcome,
                        context.scheduler().nanoTime() - routed.request().receivedNanos());
        boolean routine = event == GatewayEvent.REQUEST_ANSWERED;
        (routine ? context.log().routine(event) : context.log().important(event))
                .addKeyValue("request", routed.metadata().attemptId())
                .addKeyValue("route", routed.route().name())
                .addKeyValue("outcome", outcome)
                .addKeyValue("ran", ran.code())
                .addKeyValue("detail", detail)
                .addKeyValue("sends", sends)
                .addKeyValue("events", events)
                .addKeyValue("stagesBegunMillis", stagesBegunMillis)
                .addKeyValue("stagesExpectedMillis", stagesExpectedMillis)
                .addKeyValue("stagesMillis", stagesDoneMillis)
                .addKeyValue("sentMillis", sentMillis)
                .addKeyValue("firstEventMillis", firstEventMillis)
                .addKeyValue("totalMillis", sinceStart())
                .addKeyValue("configVersion", routed.configVersion())
                .addKeyValue("fingerprint", routed.fingerprint())
                .addKeyValue("promptParts", routed.loggedPromptParts())
                .log();
    }

    private long sinceStart() {
        return sinceStart(context.scheduler().nanoTime());
    }

    private long sinceStart(long nanos) {
        return (long) ((nanos - routed.request().receivedNanos()) / NANOS_PER_MILLI);
    }
}
