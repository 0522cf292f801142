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

/** Counts and times what the gateway does, for the metrics page. Labels are kinds from closed lists or pool names. */
public final class GatewayMeters implements Telemetry {

    /** Bounds of the latency buckets: from a read in the own zone to the longest request. */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        Duration.ofMillis(2000),
        Duration.ofMillis(4000),
        Duration.ofMillis(8000),
        Duration.ofMillis(16000)
    };

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
