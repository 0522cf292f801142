package io.masticfold.cli.bench;

import io.masticfold.cli.dev.LocalDeployment;
import io.masticfold.entry.EntryDaemon;
import io.masticfold.testkit.targets.Execution;
import io.masticfold.testkit.targets.TargetStandIn;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds what the stand-ins and the entries recorded during a run.
 *
 * @param startMillis wall-clock time at which the schedule started, in milliseconds
 * @param executions executions by target
 * @param peakCold most attempts at once while cold, by engine
 * @param collapses how often a cold target received more than it bears
 * @param counters counters of the entries, summed, by name and tag
 */
record Observations(
        long startMillis,
        Map<String, List<Execution>> executions,
        Map<String, Integer> peakCold,
        int collapses,
        Map<String, Double> counters) {

    static Observations of(LocalDeployment deployment, long startMillis) {
        Map<String, List<Execution>> executions = new TreeMap<>();
        Map<String, Integer> peakCold = new TreeMap<>();
        int collapses = 0;
        for (Map.Entry<String, TargetStandIn> target : deployment.targets().entrySet()) {
            executions.put(target.getKey(), target.getValue().executions());
            if (target.getKey().startsWith("engine")) {
                peakCold.put(target.getKey(), target.getValue().peakInFlightCold());
            }
            collapses += target.getValue().collapses();
        }
        return new Observations(startMillis, executions, peakCold, collapses, counters(deployment));
    }

    /** Returns the counters whose name starts with a prefix and that are not zero, by the rest of the name. */
    Map<String, Double> counters(String prefix) {
        Map<String, Double> found = new TreeMap<>();
        counters.forEach((name, value) -> {
            if (name.startsWith(prefix) && value > 0) {
                found.put(name.substring(prefix.length()), value);
            }
        });
        return found;
    }

    private static Map<String, Double> counters(LocalDeployment deployment) {
        Map<String, Double> sums = new TreeMap<>();
        for (EntryDaemon entry : deployment.entries()) {
            for (Meter meter : entry.meters().getMeters()) {
                if (meter instanceof Counter counter) {
                    Meter.Id id = counter.getId();
                    String tag =
                            id.getTags().isEmpty() ? "" : id.getTags().get(0).getValue();
                    sums.merge(id.getName() + ' ' + tag, counter.count(), Double::sum);
                }
            }
        }
        return sums;
    }
}
