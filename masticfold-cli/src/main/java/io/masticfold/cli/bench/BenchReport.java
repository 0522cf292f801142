package io.masticfold.cli.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Computes and prints the figures of a run. */
final class BenchReport {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RECOVERY_SECONDS = 3;
    private static final long ZONE_BOUND_MILLIS = 2_000;

    private final Scenario scenario;
    private final BenchPolicy policy;
    private final long seed;
    private final List<BenchRequest> schedule;
    private final List<RequestRecord> records;
    private final Observations observations;

    BenchReport(
            Scenario scenario,
            BenchPolicy policy,
            long seed,
            List<BenchRequest> schedule,
            List<RequestRecord> records,
            Observations observations) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        this.schedule = schedule;
        this.records = records;
        this.observations = observations;
    }

    /** Returns all figures as JSON. */
    ObjectNode json() {
        ObjectNode report = JSON.createObjectNode();
        report.put("scenario", scenario.code());
        report.put("policy", policy.code());
        report.put("seed", seed);
        report.put("requests", schedule.size());
        report.put("unanswered", schedule.size() - records.size());
        report.put("attainment", round(attainment(records, schedule.size())));
        report.put("worthWeighted", round(worthWeighted()));
        report.put("bestWorthWeighted", round(bestWorthWeighted()));
        ObjectNode contracts = report.putObject("byContract");
        for (BenchWorkspace workspace : BenchWorkspace.values()) {
            contracts.put(workspace.code(), round(attainmentOf(workspace)));
        }
        scenarioFigures(report);
        latency(report.putObject("firstByteMillis"), RequestRecord::firstByteNanos);
        latency(report.putObject("totalMillis"), RequestRecord::totalNanos);
        counters(report.putObject("refusals"), "masticfold.refusals ");
        counters(report.putObject("retries"), "masticfold.retries ");
        counters(report.putObject("costByPool"), "masticfold.stage.cost ");
        report.put("collapses", observations.collapses());
        ObjectNode cold = report.putObject("peakCold");
        observations.peakCold().forEach(cold::put);
        return report;
    }

    private void scenarioFigures(ObjectNode report) {
        if (scenario.onsetSeconds() > 0) {
            double after = scenario.onsetSeconds() + RECOVERY_SECONDS;
            report.put("attainmentAfterRecovery", round(attainmentBetween(after, Double.MAX_VALUE)));
        }
        if (scenario == Scenario.ZONE_OUT_IN) {
            report.put("startsInZoneAfterBound", startsInZoneAfterBound());
            report.put("attainmentBefore", round(attainmentBetween(0, 4)));
            report.put("attainmentDuring", round(attainmentBetween(4, 9)));
        }
        if (scenario == Scenario.STORE_OUTAGE) {
            report.put("idempotentAttainmentInOutage", round(attainmentOfIdempotent()));
            report.put("slowestPaymentRefusalMillis", slowestPaymentRefusalMillis());
        }
    }

    private double attainment(List<RequestRecord> answered, int offered) {
        long inWindow = answered.stream().filter(RequestRecord::inWindow).count();
        return offered == 0 ? 1 : inWindow / (double) offered;
    }

    private double attainmentOf(BenchWorkspace workspace) {
        List<RequestRecord> own = records.stream()
                .filter(record -> record.request().workspace() == workspace)
                .toList();
        int offered = (int) schedule.stream()
                .filter(request -> request.workspace() == workspace)
                .count();
        return attainment(own, offered);
    }

    private double attainmentBetween(double fromSeconds, double toSeconds) {
        List<RequestRecord> part = records.stream()
                .filter(record -> between(record.request(), fromSeconds, toSeconds))
                .toList();
        int offered = (int) schedule.stream()
                .filter(request -> between(request, fromSeconds, toSeconds))
                .count();
        return attainment(part, offered);
    }

    private static boolean between(BenchRequest request, double fromSeconds, double toSeconds) {
        double at = request.atNanos() / NANOS_PER_SECOND;
        return at >= fromSeconds && at < toSeconds;
    }

    private double worthWeighted() {
        double offered = schedule.stream()
                .mapToDouble(request -> request.workspace().worth())
                .sum();
        double served = records.stream()
                .filter(RequestRecord::inWindow)
                .mapToDouble(record -> record.request().workspace().worth())
                .sum();
        return offered == 0 ? 1 : served / offered;
    }

    /** Fills the capacity of each second with the requests of most worth; all requests cost the same here. */
    private double bestWorthWeighted() {
        Map<Long, List<BenchRequest>> bySecond = schedule.stream()
                .collect(Collectors.groupingBy(request -> request.atNanos() / (long) NANOS_PER_SECOND));
        double offered = schedule.stream()
                .mapToDouble(request -> request.workspace().worth())
                .sum();
        double best = bySecond.values().stream()
                .mapToDouble(second -> second.stream()
                        .mapToDouble(request -> request.workspace().worth())
                        .boxed()
                        .sorted(Comparator.reverseOrder())
                        .limit((long) BenchSizes.CAPACITY_PER_SECOND)
                        .mapToDouble(Double::doubleValue)
                        .sum())
                .sum();
        return offered == 0 ? 1 : best / offered;
    }

    private long startsInZoneAfterBound() {
        long out = observations.startMillis() + TimeUnit.SECONDS.toMillis(4) + ZONE_BOUND_MILLIS;
        long back = observations.startMillis() + TimeUnit.SECONDS.toMillis(9);
        return observations.executions().entrySet().stream()
                .filter(target ->
                        target.getKey().endsWith("-0") || target.getKey().endsWith("-4"))
                .flatMap(target -> target.getValue().stream())
                .filter(execution -> execution.arrivedMillis() > out && execution.arrivedMillis() < back)
                .count();
    }

    private double attainmentOfIdempotent() {
        List<RequestRecord> idempotent = records.stream()
                .filter(record -> record.request().idempotent() && between(record.request(), 4, 10))
                .toList();
        int offered = (int) schedule.stream()
                .filter(request -> request.idempotent() && between(request, 4, 10))
                .count();
        return attainment(idempotent, offered);
    }

    private double slowestPaymentRefusalMillis() {
        return records.stream()
                .filter(record -> record.outcome().equals("claim_store_unavailable"))
                .mapToDouble(record -> record.totalNanos() / NANOS_PER_MILLI)
                .max()
                .orElse(0);
    }

    private void latency(ObjectNode node, ToLongFunction<RequestRecord> time) {
        Histogram histogram = new Histogram(3);
        records.stream()
                .filter(RequestRecord::whole)
                .forEach(record -> histogram.recordValue(Math.max(1, time.applyAsLong(record))));
        for (double percentile : new double[] {50, 95, 99}) {
            node.put("p" + (int) percentile, round(histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI));
        }
    }

    private void counters(ObjectNode node, String prefix) {
        observations.counters(prefix).forEach(node::put);
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
