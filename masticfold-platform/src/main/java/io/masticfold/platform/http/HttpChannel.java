package io.masticfold.platform.http;

import io.activej.common.MemSize;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * HTTP client with its own event loop. Each call completes exactly once: with the response, as not sent, or as lost.
 * Calls may be made from any thread; results are delivered on the event loop.
 */
public final class HttpChannel {

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /** Time for which an idle connection is kept for reuse; servers commonly close it after 30 s or more. */
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(5);

    private final Eventloop eventloop;
    private final Thread thread;
    private final HttpClient client;
    private final HttpLimits limits;
    private final AtomicBoolean open = new AtomicBoolean();
    private int inProgress;

    /**
     * Creates a channel.
     *
     * @param name name of the event loop's thread
     * @param limits timeouts and limits of the channel
     */
    public HttpChannel(String name, HttpLimits limits) {
        this.limits = limits;
        this.eventloop = Eventloop.builder().withThreadName(name).build();
        this.thread = new Thread(eventloop, name);
        this.thread.setDaemon(true);
        this.client = HttpClient.builder(eventloop, new NumericDnsClient())
                .withConnectTimeout(limits.connectTimeout())
                .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                .withReadWriteTimeout(limits.answerTimeout())
                .withMaxBodySize(MemSize.of(limits.maxBodyBytes()))
                .withInspector(new ConnectInspector())
                .withForcedShutdown(true)
                .build();
    }

    /** Starts the event loop. */
    public void start() {
        eventloop.keepAlive(true);
        open.set(true);
        thread.start();
    }

    /** Closes all connections and stops the event loop; calls in progress complete with {@code Lost}. */
    public void stop() {
        if (!open.getAndSet(false)) {
            return;
        }
        CompletableFuture<Void> closed = eventloop.submit(() -> {
            client.stop();
            eventloop.keepAlive(false);
            eventloop.breakEventloop();
        });
        try {
            closed.get(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            thread.join(STOP_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            eventloop.breakEventloop();
        }
    }

    /** Returns a scheduler that runs tasks on the event loop. */
    public Scheduler scheduler() {
        return new EventloopScheduler(eventloop, TimeSource.system());
    }

    /**
     * Makes a call.
     *
     * @param timeout time after which the call completes with {@code Lost}
     * @param reply receives the result exactly once, on the event loop
     */
    public void send(HttpCall call, Duration timeout, Consumer<HttpResult> reply) {
        if (!open.get()) {
            reply.accept(new HttpResult.NotSent("the channel is stopped"));
            return;
        }
        eventloop.execute(() -> sendOnLoop(call, timeout, reply));
    }

    private void sendOnLoop(HttpCall call, Duration timeout, Consumer<HttpResult> reply) {
        if (!open.get()) {
            reply.accept(new HttpResult.NotSent("the channel is stopped"));
            return;
        }
        if (inProgress >= limits.maxCalls()) {
            reply.accept(new HttpResult.NotSent(limits.maxCalls() + " calls are in progress"));
            return;
        }
        inProgress++;
        PendingCall pending = new PendingCall(reply);
        pending.timeOutAfter(eventloop, timeout);
        HttpRequest request = toHttpRequest(call);
        request.attach(PendingCall.class, pending);
        client.request(request).then(this::readResponse).subscribe((result, exception) -> {
            // A call that timed out for its caller occupies its connection until here, so it counts as in progress.
            inProgress--;
            pending.complete(exception == null ? result : pending.toResult(exception));
        });
    }

    private Promise<HttpResult> readResponse(HttpResponse response) {
        String retryAfter = response.getHeader(HttpHeaders.RETRY_AFTER);
        return response.loadBody()
                .map(body -> new HttpResult.Answered(
                        response.getCode(),
                        RetryAfterSupport.parse(retryAfter),
                        body.getString(StandardCharsets.UTF_8)));
    }

    private static HttpRequest toHttpRequest(HttpCall call) {
        String host = call.address().getAddress().getHostAddress();
        String url = "http://" + host + ':' + call.address().getPort() + call.pathAndQuery();
        HttpRequest.Builder builder = HttpRequest.builder(call.method(), url);
        call.headers().forEach((name, value) -> builder.withHeader(HttpHeaders.of(name), value));
        if (call.body() != null) {
            builder.withBody(call.body().getBytes(StandardCharsets.UTF_8));
        }
        return builder.build();
    }
}
