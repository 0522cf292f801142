package io.masticfold.agent;

import io.activej.common.MemSize;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.error.Ran;
import io.masticfold.core.gate.TargetCall;
import io.masticfold.core.gate.TargetClient;
import io.masticfold.core.gate.TargetListener;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import io.masticfold.platform.http.NumericDnsClient;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Non-blocking HTTP client of the target that runs on a single event loop.
 *
 * <p>A call is known not to have run only if no connection could be established or if the target responds with status
 * 503 and {@code X-Not-Run: true}. Once the request was handed to a connection, a failure without a response leaves the
 * outcome unknown. A non-idempotent call always opens a new connection: on a pooled connection that the target has
 * closed in the meantime, its outcome would be unknown.
 */
public final class HttpTargetClient implements TargetClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(HttpTargetClient.class);
    private static final HttpHeader ATTEMPT_ID = HttpHeaders.of("X-Attempt-Id");
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Ms");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Idle time of pooled connections; shorter than the usual keep-alive timeout of targets. */
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(5);

    /** Socket inactivity timeout. The budget of a call normally expires much earlier. */
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofMinutes(30);

    private final Eventloop eventloop;
    private final String target;
    private final String baseUrl;
    private final TimeSource time;
    private final HttpClient pooledClient;
    private final HttpClient nonPooledClient;
    private final AtomicBoolean open = new AtomicBoolean(true);

    /**
     * Creates a client.
     *
     * @param eventloop event loop that runs the calls
     * @param target name of the target, used in log messages
     * @param address resolved IP address and port of the target
     * @param time clock for deadlines
     */
    public HttpTargetClient(Eventloop eventloop, String target, InetSocketAddress address, TimeSource time) {
        this.eventloop = eventloop;
        this.target = target;
        this.baseUrl = "http://" + address.getAddress().getHostAddress() + ':' + address.getPort();
        this.time = time;
        this.pooledClient = clientBuilder(eventloop)
                .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                .build();
        this.nonPooledClient = clientBuilder(eventloop).withNoKeepAlive().build();
    }

    private static HttpClient.Builder clientBuilder(Eventloop eventloop) {
        return HttpClient.builder(eventloop, new NumericDnsClient())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                .withMaxBodySize(MemSize.of(HttpTargetCall.MAX_BODY_BYTES))
                .withInspector(new ConnectFailureInspector())
                .withForcedShutdown(true);
    }

    @Override
    public TargetCall call(StageDispatch dispatch, Duration budget, TargetListener listener) {
        HttpTargetCall call =
                new HttpTargetCall(this, eventloop, dispatch, Deadline.after(time, budget), time, listener);
        if (open.get()) {
            eventloop.execute(call::start);
        } else {
            call.failStopped();
        }
        return call;
    }

    /** Stops the client and fails the calls in progress. Must be called on the event loop. */
    void stop() {
        open.set(false);
        pooledClient.stop();
        nonPooledClient.stop();
    }

    /** Sends the HTTP request of a call. Must be called on the event loop. */
    Promise<HttpResponse> send(StageDispatch dispatch, HttpTargetCall call, long deadlineMillis) {
        HttpRequest request = HttpRequest.builder(HttpMethod.POST, baseUrl + "/v1/run")
                .withHeader(ATTEMPT_ID, dispatch.attempt().toString())
                .withHeader(REQUEST_ID, dispatch.requestId())
                .withHeader(PRIORITY, Integer.toString(dispatch.priority()))
                .withHeader(DEADLINE, Long.toString(deadlineMillis))
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.ACCEPT, dispatch.streaming() ? "text/event-stream" : "application/json")
                .withBody(dispatch.body().unsafeBytes())
                .build();
        request.attach(HttpTargetCall.class, call);
        HttpClient client = dispatch.idempotent() ? pooledClient : nonPooledClient;
        return client.request(request);
    }

    /** Asks the target to cancel an attempt. Must be called on the event loop. */
    void cancel(AttemptId attempt) {
        String path = "/v1/run/" + URLEncoder.encode(attempt.toString(), StandardCharsets.UTF_8);
        HttpRequest request = HttpRequest.builder(HttpMethod.DELETE, baseUrl + path)
                .withHeader(ATTEMPT_ID, attempt.toString())
                .build();
        pooledClient.request(request).then(response -> response.loadBody()).subscribe((_body, failure) -> {
            if (failure != null) {
                AgentEvent.CANCEL_FAILED.log(LOGGER, target, attempt, failure.toString());
            }
        });
    }

    void logCallFailure(AttemptId attempt, Ran ran, String reason) {
        AgentEvent.CALL_FAILED.log(LOGGER, attempt, target, ran.code(), reason);
    }
}
