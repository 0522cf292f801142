package io.masticfold.gateway.log;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.platform.metrics.MicrometerTelemetry;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/** Counts and times what the gateway does, for the metrics page. Labels are kinds from closed lists or pool names. */
public final class GatewayMeters implements Telemetry {

    /**
     * Bounds of the latency buckets, in milliseconds: from a read in the own zone to the longest time-out of the users'
     * routes, 10 s; a factor of 2 to 2.5 apart, so that a percentile is known to about that.
     */
    private static final long[] BUCKET_MILLIS = {10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000};

    private static final Duration[] BUCKETS =
            LongStream.of(BUCKET_MILLIS).mapToObj(Duration::ofMillis).toArray(Duration[]::new);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MicrometerTelemetry counters = new MicrometerTelemetry(registry);
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

    /** Adds a value that is read when the page is asked for. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns the page in the text format of Prometheus. */
    public String page() {
        return registry.scrape();
    }
}
