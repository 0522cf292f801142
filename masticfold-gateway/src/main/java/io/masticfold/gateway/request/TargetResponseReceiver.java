package io.masticfold.gateway.request;

import io.masticfold.core.forward.ResponseEvidence;
import io.masticfold.core.forward.SendOutcome;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.Exchange;
import io.masticfold.gateway.http.ExchangeFailure;
import io.masticfold.gateway.http.ExchangeListener;
import io.masticfold.gateway.http.ResponseBody;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Receives the response to one send of a request and checks that it comes from the target, is complete and belongs to
 * this request. Plain and error responses are buffered until complete; stream events are forwarded as they arrive.
 */
final class TargetResponseReceiver implements ExchangeListener {

    private final GatewayContext context;
    private final RequestRun run;
    private final TargetTracker target;
    private final String attemptId;
    private final long tokens;
    private final @Nullable StreamProgress progress;
    private final @Nullable StreamBody stream;
    private final ResponseBody body;
    private Exchange exchange = Exchange.ENDED;
    private @Nullable HttpResponse response;
    private boolean firstOnConnection;
    private boolean forwarding;
    private boolean firstTokenRecorded;
    private int inFlightBefore;
    private long sentNanos;
    private boolean expired;
    private boolean ended;

    /**
     * Creates the listener for one send.
     *
     * @param attemptId attempt id that the response must echo
     * @param tokens number of prompt tokens that the target has to process
     * @param progress forwarded events of the request's stream; null if the route does not stream
     */
    TargetResponseReceiver(
            GatewayContext context,
            RequestRun run,
            TargetTracker target,
            String attemptId,
            long tokens,
            @Nullable StreamProgress progress) {
        this.context = context;
        this.body = new ResponseBody(context.client().responseMemory());
        this.run = run;
        this.target = target;
        this.attemptId = attemptId;
        this.tokens = tokens;
        this.progress = progress;
        this.stream =
                progress == null ? null : new StreamBody(context.client().responseMemory(), progress, this::eventRead);
    }

    void started(Exchange started) {
        exchange = started;
        inFlightBefore = target.load().shared().inFlight();
        sentNanos = context.scheduler().nanoTime();
        target.sent(tokens, sentNanos);
    }

    TargetTracker target() {
        return target;
    }

    /** Returns whether the head of the response has been received. */
    boolean answering() {
        return response != null;
    }

    /** Returns the number of events received from the target. */
    int eventsSeen() {
        return stream == null ? 0 : stream.events();
    }

    void setAutoRead(boolean enabled) {
        exchange.setAutoRead(enabled);
    }

    /**
     * Closes the connection, so that the target stops its work.
     *
     * @return whether a byte of the request may have left the process
     */
    boolean cancel() {
        if (ended) {
            return true;
        }
        boolean unanswered = !firstTokenRecorded && !expired;
        markEnded();
        boolean left = exchange.cancel();
        if (left && unanswered) {
            run.cancelledBeforeAnswer(target, tokens, sinceSent());
        }
        return left;
    }

    @Override
    public void head(HttpResponse head, boolean first) {
        response = head;
        firstOnConnection = first;
        context.protocol().decodeLoad(head.headers()).ifPresent(load -> {
            target.reported(load, context.scheduler().nanoTime());
            if (load.pace().isPresent()) {
                run.paceReported();
            }
        });
        // A misdirected request was answered by another target at the same address.
        if (ownResponse(head.headers()) && head.status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            run.responseBegun(target, head);
        }
        if (progress != null && head.status().code() == HttpResponseStatus.OK.code()) {
            ResponseEvidence evidence = evidence(head);
            if (evidence.outcome() != SendOutcome.ANSWERED) {
                abort("response " + doubt(evidence));
                return;
            }
            String problem = progress.problem(head);
            if (problem != null) {
                abort(problem);
                return;
            }
            forwarding = true;
        }
    }

    @Override
    public void content(ByteBuf bytes) {
        if (ended) {
            return;
        }
        if (forwarding && stream != null) {
            stream.append(bytes);
        } else if (!body.append(bytes)) {
            abort("response is too large to be buffered");
        }
    }

    @Override
    public void readComplete() {
        HttpResponse head = response;
        if (ended || head == null || stream == null) {
            return;
        }
        String problem = stream.forward(head);
        if (problem != null) {
            abort(problem);
        }
    }

    private void eventRead(int number) {
        if (!firstTokenRecorded) {
            run.firstAnswer(target, tokens, inFlightBefore, sinceSent());
        }
        recordFirstToken();
        run.eventForwarded(target, number);
    }

    /** Ends the send because no event has arrived for too long. */
    void stalled(Duration patience) {
        if (!ended) {
            abort("no event for " + patience.toMillis() + " ms");
        }
    }

    @Override
    public void end() {
        readComplete();
        HttpResponse head = response;
        if (ended || head == null) {
            return;
        }
        if (forwarding && progress != null) {
            endStream(head, progress);
            return;
        }
        SendResult result = classify(head);
        recordOutcome(result.outcome());
        run.sendEnded(this, result);
    }

    private void endStream(HttpResponse head, StreamProgress forwarded) {
        String problem = stream != null && stream.endsWithinEvent()
                ? "stream ended within an event"
                : forwarded.problemAtEnd(head);
        if (problem != null) {
            recordOutcome(SendOutcome.UNKNOWN);
            run.sendEnded(this, SendResult.failed(ExchangeFailure.CLOSED, problem));
            return;
        }
        forwarded.start(head.status().code(), head.headers());
        recordOutcome(SendOutcome.ANSWERED);
        run.sendEnded(this, SendResult.of(SendOutcome.ANSWERED, "complete"));
    }

    private SendResult classify(HttpResponse head) {
        HttpHeaders headers = head.headers();
        int status = head.status().code();
        ResponseEvidence evidence = evidence(head);
        SendOutcome outcome = evidence.outcome();
        if (outcome == SendOutcome.NOT_RUN || outcome == SendOutcome.INPUT_GONE) {
            return SendResult.of(outcome, "status " + status);
        }
        if (outcome == SendOutcome.UNKNOWN) {
            // The response to this send may still be on its way; the next send on this connection must not get it.
            exchange.cancel();
            return SendResult.of(outcome, "status " + status + ' ' + doubt(evidence));
        }
        if (evidence.success() && progress != null && progress.started()) {
            return SendResult.of(SendOutcome.UNKNOWN, "status " + status + " does not continue a stream");
        }
        return new SendResult(
                outcome, "status " + status, new TargetResponse(status, headers, body.toByteArray()), null);
    }

    private ResponseEvidence evidence(HttpResponse head) {
        HttpHeaders headers = head.headers();
        return new ResponseEvidence(
                head.status().code(),
                headers.contains(context.protocol().headers().notExecuted()),
                ownResponse(headers),
                authentic(headers));
    }

    private static String doubt(ResponseEvidence evidence) {
        return evidence.authentic()
                ? "beside the statement that the request did not run"
                : "without a valid seal or for another request";
    }

    private boolean ownResponse(HttpHeaders headers) {
        return echoesAttemptId(headers)
                || (firstOnConnection
                        && !headers.contains(context.protocol().headers().attemptId()));
    }

    private boolean authentic(HttpHeaders headers) {
        return headers.getAll(context.protocol().headers().seal()).size() == 1 && echoesAttemptId(headers);
    }

    private boolean echoesAttemptId(HttpHeaders headers) {
        return headers.getAll(context.protocol().headers().attemptId()).equals(List.of(attemptId));
    }

    @Override
    public void failed(ExchangeFailure failure, String detail) {
        readComplete();
        if (ended) {
            return;
        }
        SendResult result = SendResult.failed(failure, detail);
        recordOutcome(result.outcome());
        run.sendEnded(this, result);
    }

    private void abort(String detail) {
        recordOutcome(SendOutcome.UNKNOWN);
        exchange.cancel();
        run.sendEnded(this, SendResult.of(SendOutcome.UNKNOWN, detail));
    }

    private void recordOutcome(SendOutcome outcome) {
        markEnded();
        long now = context.scheduler().nanoTime();
        switch (outcome) {
            case ANSWERED -> {
                if (progress == null) {
                    run.firstAnswer(target, tokens, inFlightBefore, sinceSent());
                }
                target.succeeded(now);
            }
            case NOT_SENT, UNKNOWN -> run.targetFailed(target, target.failed(outcome == SendOutcome.NOT_SENT, now));
            case FAILED -> run.targetFailed(target, target.failed(false, now));
            case NOT_RUN, INPUT_GONE -> {
                // A target that declines a request is healthy; it may only lack capacity.
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    /** Records that the deadline has passed; returns whether the target has not begun to answer by then. */
    boolean expired() {
        boolean silent = !ended && response == null;
        if (silent) {
            expired = true;
            target.load().failed(context.scheduler().nanoTime());
        }
        return silent;
    }

    /** Returns the time since the request was sent. */
    Duration sinceSent() {
        return Duration.ofNanos(context.scheduler().nanoTime() - sentNanos);
    }

    private void markEnded() {
        ended = true;
        recordFirstToken();
        target.ended();
        body.release();
        if (stream != null) {
            stream.release();
        }
    }

    private void recordFirstToken() {
        if (!firstTokenRecorded) {
            firstTokenRecorded = true;
            target.firstToken(tokens);
        }
    }
}
