package io.masticfold.cli.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Generates an open-loop schedule of Poisson arrivals, so that slow answers do not hold back later requests. */
final class Schedule {

    private static final double NANOS_PER_SECOND = 1e9;

    private Schedule() {}

    /**
     * Generates the requests of all workspaces in the order of their times.
     *
     * @param phases parts of the load
     * @param paymentShare share of requests to the non-idempotent pipeline
     * @param seed seed of the arrivals
     */
    static List<BenchRequest> generate(List<Phase> phases, double paymentShare, long seed) {
        List<BenchRequest> requests = new ArrayList<>();
        for (BenchWorkspace workspace : BenchWorkspace.values()) {
            requests.addAll(arrivals(phases, workspace, paymentShare, new Random(seed * 31 + workspace.ordinal())));
        }
        requests.sort(Comparator.comparingLong(BenchRequest::atNanos));
        List<BenchRequest> numbered = new ArrayList<>();
        for (BenchRequest request : requests) {
            numbered.add(new BenchRequest(request.atNanos(), request.workspace(), request.pipeline(), numbered.size()));
        }
        return numbered;
    }

    private static List<BenchRequest> arrivals(
            List<Phase> phases, BenchWorkspace workspace, double paymentShare, Random random) {
        List<BenchRequest> requests = new ArrayList<>();
        double startSeconds = 0;
        double rateBefore = 0;
        for (Phase phase : phases) {
            double rate = phase.rate(workspace);
            double from = phase.ramp() ? rateBefore : rate;
            double peak = Math.max(from, rate);
            double at = 0;
            while (peak > 0) {
                at += -Math.log(1 - random.nextDouble()) / peak;
                if (at >= phase.seconds()) {
                    break;
                }
                double current = from + (rate - from) * at / phase.seconds();
                if (random.nextDouble() * peak < current) {
                    String pipeline = random.nextDouble() < paymentShare ? "pay" : "answer";
                    long nanos = (long) ((startSeconds + at) * NANOS_PER_SECOND);
                    requests.add(new BenchRequest(nanos, workspace, pipeline, 0));
                }
            }
            startSeconds += phase.seconds();
            rateBefore = rate;
        }
        return requests;
    }
}
