package io.masticfold.gateway.http;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Sends a request and buffers the complete response, with a time-out for the whole call. */
public final class BufferedCall implements ExchangeListener {

    private final Consumer<CallResult> receiver;
    private final ResponseBody body;
    private Exchange exchange = Exchange.ENDED;
    private Cancellable timeout = Cancellable.NONE;
    private @Nullable HttpResponse response;
    private boolean firstOnConnection;
    private boolean ended;

    private BufferedCall(Consumer<CallResult> receiver, ResponseMemory memory) {
        this.receiver = receiver;
        this.body = new ResponseBody(memory);
    }

    /**
     * Starts a call.
     *
     * @param client sends the request
     * @param scheduler schedules the time-out
     * @param address address of the server
     * @param request the request; released by the client
     * @param choice whether an idle connection may be reused
     * @param timeout maximum duration of the call, connecting included
     * @param receiver called once with the outcome, never before this method returns
     * @return cancels the call; the receiver is then not called
     */
    public static Cancellable start(
            HttpClient client,
            Scheduler scheduler,
            InetSocketAddress address,
            FullHttpRequest request,
            ConnectionChoice choice,
            Duration timeout,
            Consumer<CallResult> receiver) {
        BufferedCall call = new BufferedCall(receiver, client.responseMemory());
        call.timeout = scheduler.schedule(timeout, () -> call.expire(timeout));
        call.exchange = client.send(address, request, choice, call);
        return call::cancel;
    }

    /**
     * Creates a request with a JSON body.
     *
     * @param body encoded body; empty for a request without one
     */
    public static FullHttpRequest request(HttpMethod method, String uri, InetSocketAddress address, byte[] body) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        if (body.length > 0) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                body.length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }

    private void cancel() {
        if (!ended) {
            ended = true;
            timeout.cancel();
            exchange.cancel();
            body.release();
        }
    }

    private void expire(Duration after) {
        if (!ended) {
            exchange.cancel();
            finish(new CallResult.Failed(
                    ExchangeFailure.BROKEN, "no response within " + after.toMillis() + " ms", true));
        }
    }

    private void finish(CallResult result) {
        ended = true;
        timeout.cancel();
        body.release();
        receiver.accept(result);
    }

    @Override
    public void head(HttpResponse head, boolean first) {
        response = head;
        firstOnConnection = first;
    }

    @Override
    public void content(ByteBuf bytes) {
        if (ended) {
            return;
        }
        if (!body.append(bytes)) {
            exchange.cancel();
            finish(new CallResult.Failed(ExchangeFailure.BROKEN, "response is too large to be buffered", false));
        }
    }

    @Override
    public void readComplete() {
        // Only the complete response is passed on.
    }

    @Override
    public void end() {
        HttpResponse head = response;
        if (!ended && head != null) {
            finish(new CallResult.Answered(
                    head.status().code(), head.headers(), body.toByteArray(), firstOnConnection, exchange));
        }
    }

    @Override
    public void failed(ExchangeFailure failure, String detail) {
        if (!ended) {
            finish(new CallResult.Failed(failure, detail, failure == ExchangeFailure.NOT_SENT));
        }
    }
}
