package io.masticfold.agent;

import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.telemetry.Telemetry;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Prometheus metrics of an agent. The counters of all refusal reasons are registered up front, so that a scrape reports
 * zero for a reason that has not occurred yet.
 */
final class AgentMetrics implements Telemetry {

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<ErrorKind, Counter> refusals;
    private final Map<String, Counter> events = new ConcurrentHashMap<>();

    AgentMetrics() {
        Map<ErrorKind, Counter> counters = new EnumMap<>(ErrorKind.class);
        Arrays.stream(ErrorKind.values()).forEach(kind -> counters.put(kind, refusalCounter(kind)));
        this.refusals = Collections.unmodifiableMap(counters);
    }

    private Counter refusalCounter(ErrorKind kind) {
        return Counter.builder("masticfold.agent.refusals")
                .description("attempts refused as not run")
                .tag("reason", kind.code())
                .register(registry);
    }

    private Counter eventCounter(String event) {
        return Counter.builder("masticfold.agent.events")
                .description("events by name")
                .tag("event", event)
                .register(registry);
    }

    /** Registers gauges for the load of the target. */
    void registerLoadGauges(Supplier<TargetLoad> load) {
        registerLoadGauge("in_flight", "attempts running at the target", load, TargetLoad::inFlight);
        registerLoadGauge("queued", "attempts waiting at the agent", load, TargetLoad::queued);
        registerLoadGauge("limit", "concurrency limit in force", load, TargetLoad::limit);
        registerLoadGauge(
                "warm",
                "1 if the target takes its full load",
                load,
                now -> now.temperature().warm() ? 1 : 0);
    }

    /** Registers a gauge that reads its value from a supplier. */
    void registerGauge(String name, String description, Supplier<Number> value) {
        Gauge.builder("masticfold.agent." + name, value)
                .description(description)
                .register(registry);
    }

    private void registerLoadGauge(
            String name, String description, Supplier<TargetLoad> load, ToDoubleFunction<TargetLoad> value) {
        registerGauge(name, description, () -> value.applyAsDouble(load.get()));
    }

    @Override
    public void refused(ErrorKind reason) {
        Counter counter = refusals.get(reason);
        if (counter != null) {
            counter.increment();
        }
    }

    @Override
    public void count(String event) {
        events.computeIfAbsent(event, this::eventCounter).increment();
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }
}
