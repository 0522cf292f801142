package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.routing.RendezvousHashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the target at which a request is expected to be answered first. The load it answers: many gateways send to
 * targets of different and changing speed, some of which fail fast and therefore look idle, and a few prompts are far
 * more frequent than others.
 */
public final class CompletionTimePlacement {

    /**
     * Relative difference within which expected times are taken for equal. Load and speed are known with an error of
     * this order, and always taking the smallest would send all gateways to the same target.
     */
    static final double EQUAL_TOLERANCE = 0.1;

    private static final double NANOS_PER_MILLI = 1e6;

    private CompletionTimePlacement() {}

    /**
     * Chooses a target; empty if there are no candidates.
     *
     * @param model time that an average target needs
     * @param draw uniform random number from 0 (inclusive) to 1 (exclusive), which decides between equal targets
     */
    public static Optional<TargetCandidate> choose(
            List<TargetCandidate> candidates, PlacementRequest request, ServiceTimeModel model, double draw) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        String preferred = preferred(candidates, request.prompt());
        double best = Double.MAX_VALUE;
        double[] costs = new double[candidates.size()];
        for (int i = 0; i < costs.length; i++) {
            costs[i] = cost(candidates.get(i), request, preferred, model);
            best = Math.min(best, costs[i]);
        }
        return drawLocal(candidates, costs, best * (1 + EQUAL_TOLERANCE), request, draw);
    }

    /** Draws one of the candidates within the limit that are closest to the stage results and to this gateway. */
    private static Optional<TargetCandidate> drawLocal(
            List<TargetCandidate> candidates, double[] costs, double limit, PlacementRequest request, double draw) {
        Comparator<TargetCandidate> locality = Comparator.<TargetCandidate>comparingLong(
                        candidate -> request.bytesIn(candidate.target().zone()))
                .thenComparing(TargetCandidate::sameZone);
        List<TargetCandidate> closest = new ArrayList<>();
        for (int i = 0; i < costs.length; i++) {
            if (costs[i] > limit) {
                continue;
            }
            TargetCandidate candidate = candidates.get(i);
            int order = closest.isEmpty() ? 0 : locality.compare(candidate, closest.get(0));
            if (order > 0) {
                closest.clear();
            }
            if (order >= 0) {
                closest.add(candidate);
            }
        }
        return Optional.of(closest.get((int) (draw * closest.size())));
    }

    /** Returns the time until the candidate starts a request, in milliseconds. */
    static double startMillis(TargetCandidate candidate, PlacementRequest request, ServiceTimeModel model) {
        if (request.prompt().totalTokens() > 0) {
            return candidate.queuedTokens() * model.millisPerToken() * factor(candidate);
        }
        int slots = Math.max(1, candidate.target().slots());
        double ahead = Math.max(0, candidate.inFlight() - slots + 1) / (double) slots;
        return ahead * model.millis(0) * candidate.slowdown();
    }

    /** Returns the time until the candidate answers a request or sends the first event, in milliseconds. */
    static double answerMillis(
            TargetCandidate candidate, PlacementRequest request, String preferred, ServiceTimeModel model) {
        return startMillis(candidate, request, model)
                + model.millis(tokensToRead(candidate, request, preferred)) * factor(candidate);
    }

    private static int tokensToRead(TargetCandidate candidate, PlacementRequest request, String preferred) {
        boolean cached = candidate.target().id().equals(preferred)
                || request.cachedAt().contains(candidate.target().incarnation());
        return request.prompt().totalTokens() - (cached ? request.prompt().prefixTokens() : 0);
    }

    /** Returns the prompt tokens of a request that a candidate has to read, as far as known. */
    public static int tokensToRead(
            TargetCandidate candidate, List<TargetCandidate> candidates, PlacementRequest request) {
        return tokensToRead(candidate, request, preferred(candidates, request.prompt()));
    }

    /**
     * Returns the expected time until the request is answered, over sends that succeed and sends that fail, in
     * milliseconds. Without a model the load alone decides.
     */
    private static double cost(
            TargetCandidate candidate, PlacementRequest request, String preferred, ServiceTimeModel model) {
        double failureMillis =
                candidate.expectedFailureRate() * request.failureCost().toNanos() / NANOS_PER_MILLI;
        if (!model.known()) {
            return 1 + candidate.inFlight() + failureMillis;
        }
        return answerMillis(candidate, request, preferred, model) + failureMillis;
    }

    private static double factor(TargetCandidate candidate) {
        return candidate.slowdown()
                * AnswerTime.batchFactor(
                        candidate.inFlight(), candidate.target().slots());
    }

    /** Returns the id of the candidate that ranks first for the prompt's prefix; empty if there is no prefix. */
    static String preferred(List<TargetCandidate> candidates, PromptPrefix prompt) {
        if (prompt.prefixTokens() == 0) {
            return "";
        }
        return candidates.stream()
                .filter(candidate -> !candidate.suspect())
                .map(TargetCandidate::target)
                .max(Comparator.comparingLong(target -> RendezvousHashing.weight(prompt.hash(), target.id())))
                .map(TargetRecord::id)
                .orElse("");
    }

    /** Predicts how the best candidate would serve a request; empty without candidates or before the model is known. */
    public static Optional<PoolForecast> forecast(
            List<TargetCandidate> candidates, PlacementRequest request, ServiceTimeModel model) {
        if (candidates.isEmpty() || !model.known()) {
            return Optional.empty();
        }
        String preferred = preferred(candidates, request.prompt());
        int slots = 0;
        int running = 0;
        int waiting = 0;
        double answer = Double.MAX_VALUE;
        double start = 0;
        for (TargetCandidate candidate : candidates) {
            int own = Math.max(1, candidate.target().slots());
            slots += own;
            running += Math.min(own, candidate.inFlight());
            waiting += Math.max(0, candidate.inFlight() - own);
            double millis = answerMillis(candidate, request, preferred, model);
            if (millis < answer) {
                answer = millis;
                start = startMillis(candidate, request, model);
            }
        }
        return Optional.of(new PoolForecast(slots, running, waiting, duration(start), duration(answer)));
    }

    private static Duration duration(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }
}
