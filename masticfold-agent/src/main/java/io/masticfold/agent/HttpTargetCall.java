package io.masticfold.agent;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.gate.TargetCall;
import io.masticfold.core.gate.TargetListener;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import io.masticfold.wire.WireLimits;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CancellationException;
import org.jspecify.annotations.Nullable;

/**
 * A single HTTP call to the target. Confined to the event loop, except for {@link #cancel} and {@link #grant}.
 *
 * <p>A streaming response is read only while flow-control credit remains. The initial credit is 256 KiB; the receiver
 * grants more as it consumes the result.
 */
final class HttpTargetCall implements TargetCall {

    /** Maximum size in bytes of a non-streaming response, which must fit into one wire frame. */
    static final int MAX_BODY_BYTES = WireLimits.MAX_FRAME_BYTES - 64 * 1024;

    private static final HttpHeader NOT_RUN = HttpHeaders.of("X-Not-Run");
    private static final int OK = 200;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Time for a cancelled call to end by itself. Until then it counts as running on the target. */
    private static final Duration CANCEL_GRACE = Duration.ofSeconds(1);

    /** Time for the target to finish its response after the end event; the connection is closed afterwards. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(1);

    private final HttpTargetClient client;
    private final Eventloop eventloop;
    private final StageDispatch dispatch;
    private final Deadline deadline;
    private final TimeSource time;
    private final TargetListener listener;
    private final SseDecoder decoder = new SseDecoder();
    private final ByteArrayOutputStream streamedResult = new ByteArrayOutputStream();
    private @Nullable ScheduledRunnable timer;
    private @Nullable ChannelSupplier<ByteBuf> responseBody;
    private long credit = WireLimits.STREAM_WINDOW_BYTES;
    private long bytesToSkip;
    private boolean started;
    private boolean connectFailed;
    private boolean cancelled;
    private boolean reading;
    private boolean ended;

    HttpTargetCall(
            HttpTargetClient client,
            Eventloop eventloop,
            StageDispatch dispatch,
            Deadline deadline,
            TimeSource time,
            TargetListener listener) {
        this.client = client;
        this.eventloop = eventloop;
        this.dispatch = dispatch;
        this.deadline = deadline;
        this.time = time;
        this.listener = listener;
        this.bytesToSkip = dispatch.resumeOffset();
    }

    @Override
    public void cancel() {
        eventloop.execute(this::cancelOnLoop);
    }

    @Override
    public void grant(int bytes) {
        eventloop.execute(() -> {
            credit += bytes;
            readStream();
        });
    }

    /** Sends the request, unless the call was cancelled or its deadline expired while queued for the event loop. */
    void start() {
        if (ended) {
            return;
        }
        long millis = deadline.remaining(time).toMillis();
        if (millis <= 0) {
            fail(ErrorKind.STAGE_TIMEOUT, Ran.NO, "the budget expired before the request was sent");
            return;
        }
        started = true;
        timer = eventloop.delayBackground(millis, this::onTimeout);
        client.send(dispatch, this, millis).subscribe(this::onResponse);
    }

    /** Fails a call that was made after the client was stopped. */
    void failStopped() {
        fail(ErrorKind.SHUTTING_DOWN, Ran.NO, "the agent has stopped");
    }

    /** Records that no connection could be established, so that no byte of the request was sent. */
    void connectFailed() {
        connectFailed = true;
    }

    private void cancelOnLoop() {
        if (ended || cancelled) {
            return;
        }
        cancelled = true;
        if (!started) {
            fail(ErrorKind.CANCELLED, Ran.NO, "cancelled before the request was sent");
            return;
        }
        client.cancel(dispatch.attempt());
        cancelTimer();
        timer = eventloop.delayBackground(
                Math.min(CANCEL_GRACE.toMillis(), deadline.remaining(time).toMillis()),
                () -> fail(ErrorKind.CANCELLED, Ran.UNKNOWN, "cancelled"));
    }

    private void onTimeout() {
        if (!ended) {
            client.cancel(dispatch.attempt());
            fail(ErrorKind.STAGE_TIMEOUT, Ran.UNKNOWN, "no complete response within the budget");
        }
    }

    private void onResponse(@Nullable HttpResponse response, @Nullable Exception failure) {
        if (ended) {
            discard(response);
        } else if (response == null) {
            failWithoutResponse(String.valueOf(failure));
        } else if (response.getCode() == OK) {
            readBody(response);
        } else {
            failWithStatus(response);
        }
    }

    private void failWithoutResponse(String reason) {
        if (connectFailed) {
            fail(ErrorKind.TARGET_UNREACHABLE, Ran.NO, reason);
        } else {
            fail(ErrorKind.LINK_LOST, Ran.UNKNOWN, reason);
        }
    }

    private void failWithStatus(HttpResponse response) {
        int code = response.getCode();
        boolean notRun = code == SERVICE_UNAVAILABLE && "true".equalsIgnoreCase(response.getHeader(NOT_RUN));
        discard(response);
        if (notRun) {
            fail(ErrorKind.OVERLOADED, Ran.NO, "the target refused the call without running it");
        } else if (code >= INTERNAL_SERVER_ERROR) {
            fail(ErrorKind.TARGET_FAILED, Ran.YES, "status " + code);
        } else {
            // The target protocol does not define other status codes, so it is unknown whether the call ran.
            fail(ErrorKind.TARGET_FAILED, Ran.UNKNOWN, "status " + code);
        }
    }

    private void readBody(HttpResponse response) {
        if (dispatch.streaming()) {
            responseBody = response.takeBodyStream();
            readStream();
        } else {
            response.loadBody(MAX_BODY_BYTES).subscribe(this::onBodyLoaded);
        }
    }

    private void onBodyLoaded(@Nullable ByteBuf body, @Nullable Exception failure) {
        if (ended) {
            return;
        }
        if (body == null) {
            fail(ErrorKind.LINK_LOST, Ran.YES, "the response was incomplete: " + failure);
        } else {
            complete(Payload.wrap(body.getArray()));
        }
    }

    /** Reads from the response stream while flow-control credit remains. */
    private void readStream() {
        ChannelSupplier<ByteBuf> source = responseBody;
        while (source != null && !ended && !reading && credit > 0) {
            Promise<ByteBuf> next = source.get();
            if (next.isComplete()) {
                onStreamData(next.getResult(), next.getException());
            } else {
                reading = true;
                next.subscribe((bytes, failure) -> {
                    reading = false;
                    onStreamData(bytes, failure);
                    readStream();
                });
            }
        }
    }

    private void onStreamData(@Nullable ByteBuf bytes, @Nullable Exception failure) {
        if (ended) {
            return;
        }
        if (bytes == null) {
            failIncompleteStream(failure == null ? "connection closed" : failure.toString());
            return;
        }
        byte[] array = bytes.asArray();
        decoder.decode(array, 0, array.length);
        deliverChunk(decoder.drainResult());
        if (!ended && !decoder.state().open()) {
            onStreamEnd(decoder.state());
        }
    }

    private void deliverChunk(byte[] chunk) {
        if (streamedResult.size() + chunk.length > WireLimits.MAX_STREAM_RESULT_BYTES) {
            fail(ErrorKind.TARGET_FAILED, Ran.YES, "the streamed answer is too large");
            return;
        }
        streamedResult.writeBytes(chunk);
        int skipped = (int) Math.min(bytesToSkip, chunk.length);
        bytesToSkip -= skipped;
        if (skipped < chunk.length) {
            credit -= chunk.length - skipped;
            listener.chunk(Payload.wrap(Arrays.copyOfRange(chunk, skipped, chunk.length)));
        }
    }

    private void onStreamEnd(SseStreamState state) {
        if (state == SseStreamState.ENDED) {
            complete(Payload.wrap(streamedResult.toByteArray()));
        } else {
            fail(ErrorKind.TARGET_FAILED, Ran.YES, "the event stream ended in state " + state);
        }
    }

    /** Fails a stream that closed without an end event, because part of the result may be missing. */
    private void failIncompleteStream(String reason) {
        fail(
                ErrorKind.LINK_LOST,
                Ran.YES,
                "the event stream closed early after " + streamedResult.size() + " bytes: " + reason);
    }

    private void complete(Payload result) {
        end();
        listener.completed(result);
    }

    private void fail(ErrorKind kind, Ran ran, String reason) {
        if (ended) {
            return;
        }
        end();
        client.logCallFailure(dispatch.attempt(), ran, reason);
        boolean cancelledByCaller = cancelled && ran != Ran.NO;
        listener.failed(cancelledByCaller ? ErrorKind.CANCELLED : kind, ran);
    }

    private void end() {
        ended = true;
        cancelTimer();
        ChannelSupplier<ByteBuf> source = responseBody;
        responseBody = null;
        if (source == null) {
            return;
        }
        if (decoder.state() == SseStreamState.ENDED) {
            eventloop.delayBackground(DRAIN_TIMEOUT, () -> close(source));
            drain(source);
        } else {
            close(source);
        }
    }

    private static void close(ChannelSupplier<ByteBuf> source) {
        source.closeEx(new CancellationException("the call has ended"));
    }

    /** Reads and discards the data after the end event, so that the connection can be reused. */
    private static void drain(ChannelSupplier<ByteBuf> source) {
        source.get().subscribe((bytes, _failure) -> {
            if (bytes != null) {
                bytes.recycle();
                drain(source);
            }
        });
    }

    private void cancelTimer() {
        ScheduledRunnable current = timer;
        timer = null;
        if (current != null) {
            current.cancel();
        }
    }

    /** Discards a response body, so that the connection can be reused. The response owns the loaded buffer. */
    private static void discard(@Nullable HttpResponse response) {
        if (response != null) {
            response.loadBody(MAX_BODY_BYTES);
        }
    }
}
