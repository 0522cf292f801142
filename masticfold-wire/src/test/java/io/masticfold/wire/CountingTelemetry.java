package io.masticfold.wire;

import io.masticfold.core.telemetry.Telemetry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Telemetry that counts events in memory for assertions. */
final class CountingTelemetry implements Telemetry {

    private final Map<String, Integer> counters = new ConcurrentHashMap<>();

    @Override
    public void count(String event) {
        counters.merge(event, 1, Integer::sum);
    }

    int value(String event) {
        return counters.getOrDefault(event, 0);
    }
}
