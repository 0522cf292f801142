package io.masticfold.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.directory.TargetRecord;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against processing the same prompt prefix on every engine, and against overloading one engine with it. */
final class EnginePlacementTests {

    private static final PromptPrefix LONG = new PromptPrefix(42, 13_300, 17_000);

    private static TargetRecord engine(String id, String zone) {
        return new TargetRecord(id, "pool", new InetSocketAddress("127.0.0.1", 80), zone, false, 0, 64, "v1", 1);
    }

    private static TargetLoadView view(String id, String zone, long queuedTokens, boolean suspect) {
        return new TargetLoadView(engine(id, zone), 0, queuedTokens, 0, 0, true, suspect, 1);
    }

    private static List<TargetLoadView> engines() {
        List<TargetLoadView> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            engines.add(view("e" + i, "z" + i % 4, 0, false));
        }
        return engines;
    }

    private static String choose(List<TargetLoadView> engines, PromptPrefix prompt, Map<String, Long> results) {
        return EnginePlacement.choose(engines, prompt, results)
                .orElseThrow()
                .target()
                .id();
    }

    @Test
    void requestsWithTheSamePrefixShareAnEngine() {
        String first = choose(engines(), LONG, Map.of());

        assertThat(choose(engines(), new PromptPrefix(42, 13_300, 20_000), Map.of()))
                .isEqualTo(first);
        assertThat(EnginePlacement.preferred(
                                engines().stream().map(TargetLoadView::target).toList(), LONG)
                        .orElseThrow()
                        .id())
                .isEqualTo(first);
    }

    @Test
    void differentPrefixesSpreadOverEngines() {
        Map<String, Integer> counts = new HashMap<>();
        for (long hash = 0; hash < 400; hash++) {
            counts.merge(choose(engines(), new PromptPrefix(hash, 6_000, 9_000), Map.of()), 1, Integer::sum);
        }

        assertThat(counts).hasSize(8);
        assertThat(counts.values()).allMatch(count -> count > 20 && count < 90);
    }

    @Test
    void aLoadedEngineIsPassedOver() {
        String first = choose(engines(), LONG, Map.of());
        List<TargetLoadView> loaded = engines().stream()
                .map(view -> view.target().id().equals(first)
                        ? view(first, view.target().zone(), 20_000, false)
                        : view)
                .toList();

        assertThat(choose(loaded, LONG, Map.of())).isNotEqualTo(first);
    }

    @Test
    void anEngineWithRecentFailuresIsTheLastChoice() {
        assertThat(choose(List.of(view("a", "z", 0, true), view("b", "z", 90_000, false)), LONG, Map.of()))
                .isEqualTo("b");
        assertThat(choose(List.of(view("a", "z", 0, true)), LONG, Map.of())).isEqualTo("a");
    }

    @Test
    void shortPromptsRunWhereTheirResultsAre() {
        PromptPrefix shortPrompt = new PromptPrefix(42, 350, 1_460);

        String chosen = choose(engines(), shortPrompt, Map.of("z3", 7_500_000L));

        assertThat(chosen).isIn("e3", "e7");
        assertThat(EnginePlacement.prefersCachedPrompt(shortPrompt, 7_500_000)).isFalse();
        assertThat(EnginePlacement.prefersCachedPrompt(LONG, 7_500_000)).isTrue();
    }

    /** Load: another workload on the machine of the engine that caches a prefix slows it down for a moment. */
    @Test
    void requestLeavesItsEngineOnlyIfThatIsSlowerThanReadingThePrefixElsewhere() {
        String cachedAt = choose(engines(), LONG, Map.of());

        assertThat(choose(withPace(cachedAt, 2.5), LONG, Map.of())).isEqualTo(cachedAt);
        assertThat(choose(withPace(cachedAt, 6), LONG, Map.of())).isNotEqualTo(cachedAt);
    }

    private static List<TargetLoadView> withPace(String id, double pace) {
        return engines().stream()
                .map(view -> view.target().id().equals(id)
                        ? new TargetLoadView(view.target(), 0, 0, 0, 0, true, false, pace)
                        : view)
                .toList();
    }
}
