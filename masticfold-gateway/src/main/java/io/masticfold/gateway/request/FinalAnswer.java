package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerAnswer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** Gives a caller the end of its request. */
final class FinalAnswer {

    /** Shortest time after which a caller is asked to come back. */
    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(200);

    /** Time over which returning callers are spread. */
    private static final Duration RETRY_SPREAD = Duration.ofMillis(400);

    /** Callers come back within this part of the time until they are likely to be served. */
    private static final int SPREAD_PART = 4;

    private static final double MILLIS_PER_SECOND = 1000;

    private final GatewayContext context;
    private final CallerAnswer answer;

    FinalAnswer(GatewayContext context, CallerAnswer answer) {
        this.context = context;
        this.answer = answer;
    }

    /** Passes on a whole answer of a target. */
    void pass(TargetAnswer whole) {
        answer.send(
                whole.status(),
                HeaderSupport.endToEnd(whole.headers(), List.of()),
                Unpooled.wrappedBuffer(whole.body()));
    }

    /** Ends a stream whose events have been passed on. */
    void finish() {
        answer.finish();
    }

    /** Breaks a stream off, so that it does not look complete. */
    void abort() {
        answer.abort();
    }

    /**
     * Answers with a failure of the system's own.
     *
     * @param ran what is known about the execution
     * @param left time that the caller still waits
     * @param comeBack time after which the caller is likely to be served; zero if unknown
     */
    void refuse(ErrorKind kind, Ran ran, Duration left, Duration comeBack) {
        context.telemetry().refused(kind);
        int status = status(kind, ran);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        boolean mayComeBack = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
        if (mayComeBack) {
            headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter(left, comeBack));
        }
        String body = "{\"kind\":\"" + kind.code() + "\",\"ran\":\"" + ran.code() + "\"}\n";
        answer.send(status, headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    /** Returns the status of a kind; a status that promises "not run" is given only where that is certain. */
    private static int status(ErrorKind kind, Ran ran) {
        if (ran == Ran.NO && kind == ErrorKind.STAGE_TIMEOUT) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        }
        if (ran != Ran.NO && kind.httpStatus() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            return HttpResponseStatus.BAD_GATEWAY.code();
        }
        return kind.httpStatus();
    }

    private static String retryAfter(Duration left, Duration comeBack) {
        long spread = ThreadLocalRandom.current()
                .nextLong(RETRY_SPREAD.plus(comeBack.dividedBy(SPREAD_PART)).toMillis());
        long soon = Math.min(SHORTEST_RETRY_AFTER.toMillis() + spread, Math.max(1, left.toMillis() / 4));
        long millis = comeBack.isZero() ? soon : comeBack.toMillis() + spread;
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
