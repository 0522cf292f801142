package io.masticfold.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses a target by zone, prefix affinity and expected time. Targets in the entry's own availability zone are
 * preferred until they reach the spillover utilization. Requests with a prompt prefix go to the same engine by
 * rendezvous hashing with bounded loads; others go to the better of two random candidates by expected time.
 */
final class ExpectedTimePolicy implements RoutingPolicy {

    /**
     * Factor on the expected time of a target that is not warm: a warm target is preferred to it unless the expected
     * time of the warm one is more than this many times as long.
     */
    private static final double COLD_PENALTY = 4;

    private final RouterSettings settings;
    private final RandomGenerator random;

    ExpectedTimePolicy(RouterSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    @Override
    public Candidate choose(List<Candidate> candidates, RouteRequest request) {
        List<Candidate> eligible = eligible(candidates, request.zone());
        if (request.prefixHash() != 0) {
            Candidate affine = byAffinity(eligible, request.prefixHash());
            if (affine != null) {
                return affine;
            }
        }
        return betterOfTwo(eligible);
    }

    private List<Candidate> eligible(List<Candidate> candidates, String zone) {
        List<Candidate> sameZone = candidates.stream()
                .filter(candidate -> candidate.target().zone().equals(zone))
                .toList();
        boolean belowSpillover = sameZone.stream()
                .anyMatch(candidate -> candidate.stats().utilization() < settings.spilloverUtilization());
        return belowSpillover ? sameZone : candidates;
    }

    private @Nullable Candidate byAffinity(List<Candidate> candidates, long prefixHash) {
        double meanAttempts = candidates.stream()
                .mapToInt(candidate -> candidate.stats().estimatedAttempts())
                .average()
                .orElse(0);
        double maxAttempts = settings.affinityLoadFactor() * meanAttempts + 1;
        return candidates.stream()
                .filter(candidate -> candidate.stats().estimatedAttempts() <= maxAttempts)
                .max(Comparator.comparingLong(candidate ->
                        RendezvousHashing.weight(prefixHash, candidate.target().name())))
                .orElse(null);
    }

    private Candidate betterOfTwo(List<Candidate> candidates) {
        if (candidates.size() == 1) {
            return candidates.get(0);
        }
        int first = random.nextInt(candidates.size());
        int second = random.nextInt(candidates.size() - 1);
        Candidate a = candidates.get(first);
        Candidate b = candidates.get(second >= first ? second + 1 : second);
        return expectedTime(a) <= expectedTime(b) ? a : b;
    }

    private static double expectedTime(Candidate candidate) {
        TargetStats stats = candidate.stats();
        double load = (stats.estimatedAttempts() + 1)
                / (double) Math.max(1, stats.load().limit());
        double latency = Math.max(1, stats.latencyNanos());
        double penalty = stats.load().temperature().warm() ? 1 : COLD_PENALTY;
        return load * latency * penalty;
    }
}
