package io.masticfold.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.directory.TargetRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sending requests where they are answered late: to slow, failing, or overloaded targets. */
final class CompletionTimePlacementTests {

    private static final Duration FAILURE_COST = Duration.ofMillis(1500);
    private static final PlacementRequest PLAIN =
            new PlacementRequest(PromptPrefix.UNKNOWN, Set.of(), Map.of(), FAILURE_COST);

    private static TargetCandidate plain(String id, int inFlight, double slowdown, double failureRate) {
        return candidate(id, 6, inFlight, 0, slowdown, failureRate);
    }

    private static TargetCandidate candidate(
            String id, int slots, int inFlight, long tokens, double slowdown, double failureRate) {
        TargetRecord target =
                new TargetRecord(id, "pool", new InetSocketAddress("127.0.0.1", 80), "zone", false, 0, slots, "v1", 1);
        return new TargetCandidate(target, inFlight, tokens, slowdown, failureRate, false, true);
    }

    private static ServiceTimeModel model(double constantMillis, double millisPerToken) {
        ServiceTimeModel model = new ServiceTimeModel();
        for (int tokens = 0; tokens < 20_000; tokens += 1_000) {
            double read = millisPerToken == 0 ? 0 : tokens;
            model.record(read, constantMillis + millisPerToken * read);
        }
        return model;
    }

    private static Map<String, Integer> share(
            List<TargetCandidate> candidates, PlacementRequest request, ServiceTimeModel model) {
        Random random = new Random(7);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            String id = CompletionTimePlacement.choose(candidates, request, model, random.nextDouble())
                    .orElseThrow()
                    .target()
                    .id();
            counts.merge(id, 1, Integer::sum);
        }
        return counts;
    }

    /** Load: four targets of a plain service, one of which fails at once and so has the fewest requests. */
    @Test
    void targetThatFailsFastGetsNoRequestsWhileOthersAreSound() {
        List<TargetCandidate> candidates =
                List.of(plain("failing", 0, 0.3, 0.4), plain("a", 3, 1, 0), plain("b", 3, 1, 0), plain("c", 4, 1, 0));

        assertThat(share(candidates, PLAIN, model(60, 0))).doesNotContainKey("failing");
    }

    @Test
    void allTargetsAreUsedIfAllFail() {
        List<TargetCandidate> candidates = List.of(plain("a", 1, 1, 0.6), plain("b", 1, 1, 0.6));

        assertThat(share(candidates, PLAIN, model(60, 0))).containsOnlyKeys("a", "b");
    }

    /** Load: another workload on the machine makes one of two targets slower than the queue at the other is long. */
    @ParameterizedTest
    @CsvSource({"1.0, idle", "1.5, idle", "4.0, busy"})
    void slowdownCountsAgainstTheQueueOfTheOther(double slowdown, String expected) {
        List<TargetCandidate> candidates = List.of(plain("idle", 0, slowdown, 0), plain("busy", 8, 1, 0));

        assertThat(share(candidates, PLAIN, model(60, 0))).containsOnlyKeys(expected);
    }

    /** Load: many gateways see the same idle targets at the same time. */
    @Test
    void equalTargetsShareTheRequests() {
        List<TargetCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            candidates.add(plain("t" + i, 1, 1 + i * 0.005, 0));
        }

        assertThat(share(candidates, PLAIN, model(60, 0)).values()).hasSize(10).allSatisfy(count -> assertThat(count)
                .isBetween(60, 140));
    }

    /** Load: one prompt prefix gets much of the traffic. */
    @Test
    void hotPrefixSpreadsOnceItsEngineHasMoreToReadThanTheCacheSaves() {
        PromptPrefix prompt = new PromptPrefix(42, 13_000, 17_000);
        ServiceTimeModel model = model(100, 0.016);
        List<TargetCandidate> idle = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            idle.add(candidate("e" + i, 64, 0, 0, 1, 0));
        }
        PlacementRequest request = new PlacementRequest(prompt, Set.of(), Map.of(), FAILURE_COST);
        String preferred = CompletionTimePlacement.preferred(idle, prompt);
        List<TargetCandidate> busy = idle.stream()
                .map(engine ->
                        engine.target().id().equals(preferred) ? candidate(preferred, 64, 5, 20_000, 1, 0) : engine)
                .toList();

        assertThat(share(idle, request, model)).containsOnlyKeys(preferred);
        assertThat(share(busy, request, model)).doesNotContainKey(preferred).hasSize(3);
        PlacementRequest spread = new PlacementRequest(prompt, Set.of(other(preferred) + "@1"), Map.of(), FAILURE_COST);
        assertThat(share(busy, spread, model)).containsOnlyKeys(other(preferred));
    }

    private static String other(String preferred) {
        return preferred.equals("e0") ? "e1" : "e0";
    }

    @Test
    void equalTargetInTheZoneOfTheStageResultsIsChosen() {
        TargetRecord near = new TargetRecord(
                "near", "pool", new InetSocketAddress("127.0.0.1", 80), "results", false, 0, 64, "v1", 1);
        List<TargetCandidate> candidates =
                List.of(candidate("far", 64, 0, 0, 1, 0), new TargetCandidate(near, 0, 0, 1, 0, false, false));
        PlacementRequest request = new PlacementRequest(
                new PromptPrefix(0, 0, 1_000), Set.of(), Map.of("results", 3_000_000L), FAILURE_COST);

        assertThat(share(candidates, request, model(100, 0.016))).containsOnlyKeys("near");
    }

    @Test
    void loadDecidesBeforeThereAreAnswers() {
        assertThat(share(List.of(plain("a", 5, 1, 0), plain("b", 2, 1, 0)), PLAIN, new ServiceTimeModel()))
                .containsOnlyKeys("b");
    }

    @Test
    void forecastCountsWaitingRequestsAndTheTimeUntilASlotIsFree() {
        ServiceTimeModel model = model(60, 0);

        PoolForecast forecast = CompletionTimePlacement.forecast(
                        List.of(plain("a", 11, 1, 0), plain("b", 9, 1, 0)), PLAIN, model)
                .orElseThrow();

        assertThat(forecast.slots()).isEqualTo(12);
        assertThat(forecast.running()).isEqualTo(12);
        assertThat(forecast.waiting()).isEqualTo(8);
        assertThat(forecast.timeToStart()).isBetween(Duration.ofMillis(39), Duration.ofMillis(41));
    }
}
