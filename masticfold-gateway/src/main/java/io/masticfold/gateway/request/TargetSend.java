package io.masticfold.gateway.request;

import io.masticfold.core.forward.SendOutcome;
import io.masticfold.core.stream.EventSplitter;
import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.Exchange;
import io.masticfold.gateway.http.ExchangeFailure;
import io.masticfold.gateway.http.ExchangeListener;
import io.masticfold.gateway.protocol.HeaderNames;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;

/**
 * Receives the response to one send of a request and checks that it comes from the target, is complete and belongs to
 * this request. Plain and error responses are buffered until complete; stream events are forwarded as they arrive.
 */
final class TargetSend implements ExchangeListener {

    /** Maximum size of a buffered response body, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final GatewayContext context;
    private final RequestRun run;
    private final TargetState target;
    private final String attemptId;
    private final long tokens;
    private final @Nullable StreamProgress progress;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Exchange exchange = Exchange.ENDED;
    private @Nullable HttpResponse response;
    private boolean firstOnConnection;
    private boolean passing;
    private boolean tokenSeen;
    private boolean ended;
    private int eventsSeen;

    /**
     * Creates the listener for one send.
     *
     * @param attemptId attempt id that the response must echo
     * @param tokens number of prompt tokens that the target has to process
     * @param progress forwarded events of the request's stream; null if the route does not stream
     */
    TargetSend(
            GatewayContext context,
            RequestRun run,
            TargetState target,
            String attemptId,
            long tokens,
            @Nullable StreamProgress progress) {
        this.context = context;
        this.run = run;
        this.target = target;
        this.attemptId = attemptId;
        this.tokens = tokens;
        this.progress = progress;
    }

    void started(Exchange started) {
        exchange = started;
        target.sent(tokens, context.scheduler().nanoTime());
    }

    TargetState target() {
        return target;
    }

    /** Returns whether the head of the response has been received. */
    boolean answering() {
        return response != null;
    }

    /** Returns the number of events received from the target. */
    int eventsSeen() {
        return eventsSeen;
    }

    void readResponse(boolean enabled) {
        exchange.readResponse(enabled);
    }

    /** Closes the connection, so that the target stops its work. */
    void cancel() {
        if (!ended) {
            account();
            exchange.cancel();
        }
    }

    @Override
    public void head(HttpResponse head, boolean first) {
        response = head;
        firstOnConnection = first;
        context.protocol()
                .decodeLoad(head.headers())
                .ifPresent(load -> target.reported(load, context.scheduler().nanoTime()));
        if (progress != null && head.status().code() == HttpResponseStatus.OK.code()) {
            if (!genuine(head.headers())) {
                breakOff("response without a valid seal or for another request");
                return;
            }
            passing = true;
        }
    }

    @Override
    public void content(ByteBuf bytes) {
        if (ended) {
            return;
        }
        byte[] part = new byte[bytes.readableBytes()];
        bytes.getBytes(bytes.readerIndex(), part);
        if (passing) {
            pass(part);
        } else if (body.size() + part.length > MAX_BODY_BYTES) {
            breakOff("response is larger than " + MAX_BODY_BYTES + " bytes");
        } else {
            body.writeBytes(part);
        }
    }

    private void pass(byte[] part) {
        HttpResponse head = response;
        StreamProgress stream = progress;
        if (head == null || stream == null) {
            return;
        }
        try {
            for (StreamEvent event : splitter.feed(part)) {
                eventsSeen++;
                firstToken();
                if (!stream.pass(head.status().code(), head.headers(), event)) {
                    breakOff("event " + event.id() + " does not follow " + stream.lastId());
                    return;
                }
                run.eventPassed();
            }
        } catch (IllegalStateException e) {
            breakOff(String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void end() {
        HttpResponse head = response;
        if (ended || head == null) {
            return;
        }
        if (passing) {
            endStream(head);
            return;
        }
        SendResult result = classify(head);
        settle(result.outcome());
        run.sendEnded(this, result);
    }

    private void endStream(HttpResponse head) {
        if (splitter.holdsPart()) {
            settle(SendOutcome.UNKNOWN);
            run.sendEnded(this, SendResult.of(SendOutcome.UNKNOWN, "stream ended within an event"));
            return;
        }
        StreamProgress stream = progress;
        if (stream != null) {
            stream.start(head.status().code(), head.headers());
        }
        settle(SendOutcome.ANSWERED);
        run.sendEnded(this, SendResult.of(SendOutcome.ANSWERED, "complete"));
    }

    private SendResult classify(HttpResponse head) {
        HeaderNames names = context.protocol().headers();
        HttpHeaders headers = head.headers();
        int status = head.status().code();
        TargetAnswer answer = new TargetAnswer(status, headers, body.toByteArray());
        boolean own = echoes(headers) || (firstOnConnection && !headers.contains(names.attemptId()));
        boolean declined =
                headers.contains(names.notExecuted()) || status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        if (declined && own) {
            SendOutcome outcome =
                    status == HttpResponseStatus.CONFLICT.code() ? SendOutcome.INPUT_GONE : SendOutcome.NOT_RUN;
            return SendResult.of(outcome, "status " + status);
        }
        if (!genuine(headers)) {
            return SendResult.of(
                    SendOutcome.UNKNOWN, "status " + status + " without a valid seal or for another request");
        }
        SendOutcome outcome = answer.success() ? SendOutcome.ANSWERED : SendOutcome.FAILED;
        return new SendResult(outcome, "status " + status, answer);
    }

    private boolean genuine(HttpHeaders headers) {
        return headers.contains(context.protocol().headers().seal()) && echoes(headers);
    }

    private boolean echoes(HttpHeaders headers) {
        return attemptId.equals(headers.get(context.protocol().headers().attemptId()));
    }

    @Override
    public void failed(ExchangeFailure failure, String detail) {
        if (ended) {
            return;
        }
        SendOutcome outcome = failure == ExchangeFailure.NOT_SENT ? SendOutcome.NOT_SENT : SendOutcome.UNKNOWN;
        settle(outcome);
        run.sendEnded(this, SendResult.of(outcome, detail));
    }

    private void breakOff(String detail) {
        settle(SendOutcome.UNKNOWN);
        exchange.cancel();
        run.sendEnded(this, SendResult.of(SendOutcome.UNKNOWN, detail));
    }

    private void settle(SendOutcome outcome) {
        account();
        long now = context.scheduler().nanoTime();
        switch (outcome) {
            case ANSWERED -> target.succeeded();
            case NOT_SENT, UNKNOWN -> run.targetFailed(target, target.failed(outcome == SendOutcome.NOT_SENT, now));
            case FAILED -> run.targetFailed(target, target.failed(false, now));
            case NOT_RUN, INPUT_GONE -> {
                // A target that declines a request is healthy; it may only lack capacity.
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private void account() {
        ended = true;
        firstToken();
        target.ended();
    }

    private void firstToken() {
        if (!tokenSeen) {
            tokenSeen = true;
            target.firstToken(tokens);
        }
    }
}
