package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against overloaded stage servers beside idle ones, and against needless transfers between zones. */
final class StageServerSelectionTests {

    private static final long LARGE = 3_000_000;
    private static final double AMPLE_SPARE_MILLIS = 2_000;

    private static StageServerView server(String id, String zone, double backlogMillis) {
        return new StageServerView(id, zone, backlogMillis, 27_000_000, false);
    }

    private static String choose(List<StageServerView> servers, Map<String, Long> zoneBytes, double spareMillis) {
        return StageServerSelection.choose(servers, LARGE, zoneBytes, spareMillis)
                .orElseThrow()
                .id();
    }

    @Test
    void theShortestBacklogWins() {
        assertThat(choose(List.of(server("a", "z1", 300), server("b", "z2", 100)), Map.of(), AMPLE_SPARE_MILLIS))
                .isEqualTo("b");
    }

    @Test
    void resultsStayInTheZoneOfTheirReaderWhileThereIsTime() {
        List<StageServerView> servers = List.of(server("a", "z1", 300), server("b", "z2", 0));

        assertThat(choose(servers, Map.of("z1", LARGE), AMPLE_SPARE_MILLIS)).isEqualTo("a");
        assertThat(choose(servers, Map.of("z1", LARGE), 100)).isEqualTo("b");
    }

    @Test
    void failingAndFullServersComeLast() {
        StageServerView failing = new StageServerView("a", "z1", 0, 27_000_000, true);
        StageServerView full = new StageServerView("b", "z1", 0, 1_000_000, false);
        StageServerView busy = server("c", "z1", 200);

        assertThat(choose(List.of(failing, full, busy), Map.of(), AMPLE_SPARE_MILLIS))
                .isEqualTo("c");
        assertThat(choose(List.of(failing, full), Map.of(), AMPLE_SPARE_MILLIS)).isEqualTo("b");
        assertThat(choose(List.of(failing), Map.of(), AMPLE_SPARE_MILLIS)).isEqualTo("a");
    }

    @Test
    void aLargeRequestIsSplitAcrossServers() {
        StagePoolSpec spec = new StagePoolSpec(1, 2, 6, 150, 21, 27_000_000, 4_000);

        assertThat(StageServerSelection.maxPiecesPerServer(spec, LARGE)).isEqualTo(4);
        assertThat(StageServerSelection.maxPiecesPerServer(spec, 6_000)).isEqualTo(6);
        assertThat(StageServerSelection.maxPiecesPerServer(spec, 100_000_000)).isEqualTo(1);
    }

    @Property(seed = "3", tries = 50)
    @Tag("property")
    void gatewaysWithTheSameViewAgreeOnOwnersAndALostGatewayMovesOnlyItsOwnServers(
            @ForAll @IntRange(min = 2, max = 20) int gateways, @ForAll @IntRange(min = 1, max = 40) int servers) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < gateways; i++) {
            names.add("g" + i);
        }
        Map<String, String> owners = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            String server = "s" + i;
            Set<String> seen = new HashSet<>();
            for (String own : names) {
                seen.add(ServerOwnership.ownerOf(server, own, without(names, own)));
            }
            assertThat(seen).hasSize(1);
            owners.put(server, seen.iterator().next());
        }
        Set<String> remaining = without(names, "g0");
        owners.forEach((server, owner) -> {
            if (!owner.equals("g0")) {
                assertThat(ServerOwnership.ownerOf(server, "g1", without(remaining, "g1")))
                        .isEqualTo(owner);
            }
        });
    }

    private static Set<String> without(Set<String> names, String name) {
        Set<String> others = new HashSet<>(names);
        others.remove(name);
        return others;
    }
}
