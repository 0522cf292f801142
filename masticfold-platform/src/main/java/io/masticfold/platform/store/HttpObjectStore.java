package io.masticfold.platform.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.http.HttpMethod;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.platform.http.HttpCall;
import io.masticfold.platform.http.HttpChannel;
import io.masticfold.platform.http.HttpLimits;
import io.masticfold.platform.http.HttpResult;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client of the object API. Reads and writes of single objects pass a rate limiter and a circuit breaker, which
 * reject calls with {@code Unavailable} immediately. Lists and watches use separate connections, so that a slow list
 * does not delay a claim.
 */
public final class HttpObjectStore implements ObjectStore {

    private static final Logger LOG = LoggerFactory.getLogger(HttpObjectStore.class);

    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String PROBE_PATH = OBJECTS_PATH + "zone/probe";
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration WATCH_MARGIN = Duration.ofSeconds(2);

    private final InetSocketAddress address;
    private final Telemetry telemetry;
    private final HttpChannel calls;
    private final HttpChannel watches;
    private final Scheduler scheduler;
    private final CircuitBreaker breaker;
    private final TokenBucket rateLimiter;
    private final AtomicBoolean started = new AtomicBoolean();

    /**
     * Creates a client.
     *
     * @param address numeric address of the object API
     * @param limits rate limits of this process
     * @param telemetry registry of the counters, which have the prefix {@code store_}
     * @param random source of the probe jitter, which spreads out the probes of several processes
     */
    public HttpObjectStore(InetSocketAddress address, StoreLimits limits, Telemetry telemetry, RandomGenerator random) {
        this.address = address;
        this.telemetry = telemetry;
        this.calls = new HttpChannel("object-api-calls", HttpLimits.CALLS);
        this.watches = new HttpChannel("object-api-watches", HttpLimits.WATCHES);
        this.scheduler = calls.scheduler();
        this.breaker = new CircuitBreaker(scheduler, random);
        this.rateLimiter = new TokenBucket(scheduler, limits.callsPerSecond(), limits.burst());
    }

    /** Starts the event loops. */
    public void start() {
        started.set(true);
        calls.start();
        watches.start();
    }

    /** Stops the event loops; calls in progress complete with {@code Lost}. */
    public void stop() {
        started.set(false);
        watches.stop();
        calls.stop();
    }

    /** Returns a scheduler that runs tasks on the event loop for single-object calls. */
    public Scheduler scheduler() {
        return scheduler;
    }

    @Override
    public boolean available() {
        return !breaker.open();
    }

    @Override
    public Duration retryAfter() {
        return breaker.retryAfter();
    }

    @Override
    public void get(String kind, String name, Duration timeout, Consumer<StoreReply> reply) {
        sendCall(HttpCall.get(address, path(kind, name)), timeout, reply);
    }

    @Override
    public void put(
            String kind,
            String name,
            long expectedVersion,
            String changeId,
            String spec,
            Duration timeout,
            Consumer<StoreReply> reply) {
        String body;
        try {
            body = EnvelopeCodec.update(changeId, spec);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("specification is not JSON: " + spec, e);
        }
        sendCall(conditionalWrite(HttpMethod.PUT, path(kind, name), expectedVersion, body), timeout, reply);
    }

    @Override
    public void delete(String kind, String name, long expectedVersion, Duration timeout, Consumer<StoreReply> reply) {
        sendCall(conditionalWrite(HttpMethod.DELETE, path(kind, name), expectedVersion, null), timeout, reply);
    }

    @Override
    public void list(Collection<String> kinds, long since, Duration timeout, Consumer<PageReply> reply) {
        String path = "/v1/objects?since=" + since + kindParameters(kinds);
        sendPageCall(HttpCall.get(address, path), timeout, reply);
    }

    @Override
    public void watch(Collection<String> kinds, long since, Duration wait, Consumer<PageReply> reply) {
        String path = "/v1/watch?since=" + since + "&timeoutMillis=" + wait.toMillis() + kindParameters(kinds);
        sendPageCall(HttpCall.get(address, path), wait.plus(WATCH_MARGIN), reply);
    }

    private void sendCall(HttpCall call, Duration timeout, Consumer<StoreReply> reply) {
        if (breaker.open()) {
            telemetry.count("store_breaker_refused");
            reply.accept(new StoreReply.Unavailable(breaker.retryAfter(), "the object API is unreachable"));
            return;
        }
        Duration wait = rateLimiter.tryAcquire();
        if (!wait.isZero()) {
            telemetry.count("store_budget_spent");
            reply.accept(new StoreReply.Unavailable(wait, "the rate limit of this process is exceeded"));
            return;
        }
        telemetry.count("store_call");
        calls.send(call, timeout, result -> reply.accept(classify(call, result)));
    }

    private StoreReply classify(HttpCall call, HttpResult result) {
        StoreReply answer;
        if (result instanceof HttpResult.Answered answered) {
            answer = StoreResponseMapper.toStoreReply(call, answered);
        } else if (result instanceof HttpResult.NotSent notSent) {
            answer = new StoreReply.Unavailable(Duration.ofSeconds(1), notSent.reason());
        } else {
            answer = new StoreReply.Lost(((HttpResult.Lost) result).reason());
        }
        telemetry.count(StoreResponseMapper.counterName(answer));
        recordResult(result);
        return answer;
    }

    private void recordResult(HttpResult result) {
        if (StoreResponseMapper.isReachable(result)) {
            if (breaker.recordSuccess()) {
                PlatformEvent.STORE_REACHABLE.log(LOG);
            }
        } else if (breaker.recordFailure()) {
            telemetry.count("store_breaker_opened");
            PlatformEvent.STORE_UNREACHABLE.log(
                    LOG, breaker.failures(), breaker.retryAfter().toMillis());
            scheduler.schedule(breaker.retryAfter(), this::probe);
        }
    }

    private void probe() {
        if (!started.get() || !breaker.open()) {
            return;
        }
        telemetry.count("store_probe");
        calls.send(HttpCall.get(address, PROBE_PATH), PROBE_TIMEOUT, result -> {
            recordResult(result);
            if (breaker.open()) {
                scheduler.schedule(breaker.nextProbeDelay(), this::probe);
            }
        });
    }

    private void sendPageCall(HttpCall call, Duration timeout, Consumer<PageReply> reply) {
        telemetry.count("store_page");
        watches.send(call, timeout, result -> reply.accept(StoreResponseMapper.toPageReply(call, result)));
    }

    private HttpCall conditionalWrite(HttpMethod method, String path, long expectedVersion, String body) {
        return new HttpCall(method, address, path, Map.of("If-Match", Long.toString(expectedVersion)), body);
    }

    private static String path(String kind, String name) {
        return OBJECTS_PATH + encode(kind) + '/' + encode(name);
    }

    private static String kindParameters(Collection<String> kinds) {
        return kinds.stream().map(kind -> "&kind=" + encode(kind)).collect(Collectors.joining());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
