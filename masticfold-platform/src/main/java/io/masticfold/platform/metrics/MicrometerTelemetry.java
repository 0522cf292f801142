package io.masticfold.platform.metrics;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.telemetry.Telemetry;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Records telemetry in a Micrometer registry, with one counter for each refusal and retry reason. */
public final class MicrometerTelemetry implements Telemetry {

    private final MeterRegistry registry;
    private final Map<ErrorKind, Counter> refusals = new EnumMap<>(ErrorKind.class);
    private final Map<ErrorKind, Counter> retries = new EnumMap<>(ErrorKind.class);
    private final Map<String, Counter> events = new ConcurrentHashMap<>();
    private final Map<String, StageMeters> stages = new ConcurrentHashMap<>();

    /** Registers the counters of all reasons, so that each is exported with the value zero. */
    public MicrometerTelemetry(MeterRegistry registry) {
        this.registry = registry;
        for (ErrorKind kind : ErrorKind.values()) {
            refusals.put(kind, registry.counter("masticfold.refusals", "reason", kind.code()));
            retries.put(kind, registry.counter("masticfold.retries", "reason", kind.code()));
        }
    }

    @Override
    public void refused(ErrorKind reason) {
        counter(refusals, reason).increment();
    }

    @Override
    public void retried(ErrorKind reason) {
        counter(retries, reason).increment();
    }

    @Override
    public void count(String event) {
        events.computeIfAbsent(event, name -> registry.counter("masticfold.events", "event", name))
                .increment();
    }

    @Override
    public void stage(String pool, double cost, long elapsedNanos) {
        StageMeters meters = stages.computeIfAbsent(pool, this::stageMeters);
        meters.cost().increment(cost);
        meters.elapsed().record(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    private StageMeters stageMeters(String pool) {
        Counter cost = registry.counter("masticfold.stage.cost", "pool", pool);
        Timer elapsed = registry.timer("masticfold.stage.seconds", "pool", pool);
        return new StageMeters(cost, elapsed);
    }

    private static Counter counter(Map<ErrorKind, Counter> counters, ErrorKind kind) {
        return Objects.requireNonNull(counters.get(kind), () -> "no counter for " + kind);
    }

    private record StageMeters(Counter cost, Timer elapsed) {}
}
