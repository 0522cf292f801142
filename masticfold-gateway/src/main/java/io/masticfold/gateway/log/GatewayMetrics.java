package io.masticfold.gateway.log;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.platform.metrics.MicrometerTelemetry;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Records the metrics of the gateway. Tag values are pool names or come from fixed sets, which bounds their number. */
public final class GatewayMetrics implements Telemetry {

    /**
     * Upper bounds of the latency buckets, in milliseconds. They range from a read within the zone to above the longest
     * route time-out in use, 10 s; adjacent bounds differ by a factor of 2 to 2.5, so that a percentile is known to
     * about that factor.
     */
    private static final long[] BUCKET_MILLIS = {10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000};

    private static final Duration[] BUCKETS =
            LongStream.of(BUCKET_MILLIS).mapToObj(Duration::ofMillis).toArray(Duration[]::new);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MicrometerTelemetry counters = new MicrometerTelemetry(registry);
    private final Timer loopDelays = Timer.builder("masticfold.event.loop.delay.seconds")
            .serviceLevelObjectives(BUCKETS)
            .register(registry);
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();

    @Override
    public void refused(ErrorKind reason) {
        counters.refused(reason);
    }

    @Override
    public void retried(ErrorKind reason) {
        counters.retried(reason);
    }

    @Override
    public void count(String event) {
        counters.count(event);
    }

    @Override
    public void stage(String pool, double cost, long elapsedNanos) {
        counters.stage(pool, cost, elapsedNanos);
    }

    @Override
    public void request(String kind, String outcome, long elapsedNanos) {
        timers.computeIfAbsent(kind + ' ' + outcome, _key -> Timer.builder("masticfold.request.seconds")
                        .tag("kind", kind)
                        .tag("outcome", outcome)
                        .serviceLevelObjectives(BUCKETS)
                        .register(registry))
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    /** Records by how much a task of the event loop was late. */
    void loopDelay(long nanos) {
        loopDelays.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Registers a counter that is read at each scrape.
     *
     * @param source holds the value; is not kept alive by the registration
     * @param value reads the value, which never falls
     */
    <T> void counter(String name, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, source, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String page() {
        return registry.scrape();
    }
}
