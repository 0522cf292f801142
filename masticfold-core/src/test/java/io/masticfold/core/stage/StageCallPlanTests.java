package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against pieces that wait for one server while another is free. */
final class StageCallPlanTests {

    private static final StagePoolSpec SPEC = new StagePoolSpec(1, 2, 6, 150, 20, 27_000_000, 4_000);
    private static final long LARGE = 3_000_000;
    private static final double AMPLE_SPARE_MILLIS = 2_000;

    private static StageServerLoad server(String id, String zone, double availableMillis) {
        return new StageServerLoad(id, zone, availableMillis, 1, SPEC.storageBytes());
    }

    private static PieceGroup group(int pieces) {
        return new PieceGroup(pieces, pieces * LARGE, Map.of(), AMPLE_SPARE_MILLIS, null);
    }

    @Test
    void groupsAreSpreadOverTheServersThatBecomeFreeFirst() {
        StageCallPlan plan = StageCallPlan.of(
                List.of(group(6), group(6), group(6)),
                List.of(server("a", "z1", 300), server("b", "z1", 0), server("c", "z1", 100)),
                SPEC);

        assertThat(plan.groups(1)).containsExactly(0);
        assertThat(plan.groups(2)).containsExactly(1);
        assertThat(plan.groups(0)).containsExactly(2);
        assertThat(plan.startMillis(1)).isEqualTo(270);
    }

    @Test
    void resultsWaitForAServerOfTheirZoneOnlyWhileThereIsTime() {
        List<StageServerLoad> servers = List.of(server("a", "z1", 200), server("b", "z2", 0));
        Map<String, Long> zoneBytes = Map.of("z1", LARGE);

        assertThat(StageCallPlan.of(
                                List.of(new PieceGroup(1, LARGE, zoneBytes, AMPLE_SPARE_MILLIS, null)), servers, SPEC)
                        .groups(0))
                .containsExactly(0);
        assertThat(StageCallPlan.of(List.of(new PieceGroup(1, LARGE, zoneBytes, 100, null)), servers, SPEC)
                        .groups(1))
                .containsExactly(0);
    }

    @Test
    void aSlowServerIsUsedOnceTheOthersAreBusyForLonger() {
        StageServerLoad slow = new StageServerLoad("a", "z1", 0, 3, SPEC.storageBytes());

        assertThat(StageCallPlan.of(List.of(group(1)), List.of(slow, server("b", "z1", 300)), SPEC)
                        .groups(1))
                .containsExactly(0);
        assertThat(StageCallPlan.of(List.of(group(1)), List.of(slow, server("b", "z1", 400)), SPEC)
                        .groups(0))
                .containsExactly(0);
    }

    @Test
    void aBoundGroupGoesToItsServerOnly() {
        PieceGroup bound = new PieceGroup(1, LARGE, Map.of(), AMPLE_SPARE_MILLIS, "a");
        List<StageServerLoad> servers = List.of(server("a", "z1", 900), server("b", "z1", 0));

        assertThat(StageCallPlan.of(List.of(bound), servers, SPEC).groups(0)).containsExactly(0);
        assertThat(StageCallPlan.of(List.of(bound), servers.subList(1, 2), SPEC).groups(0))
                .isEmpty();
    }

    @Property(seed = "7", tries = 100)
    @Tag("property")
    void everyGroupIsAssignedOnceAndNoServerIdlesWhileGroupsWait(
            @ForAll @IntRange(min = 1, max = 20) int servers, @ForAll @IntRange(min = 1, max = 60) int groups) {
        List<StageServerLoad> loads = IntStream.range(0, servers)
                .mapToObj(i -> server("s" + i, "z" + i % 3, i % 4 * 60))
                .toList();
        StageCallPlan plan = StageCallPlan.of(
                IntStream.range(0, groups).mapToObj(i -> group(1 + i % 3)).toList(), loads, SPEC);

        List<Integer> assigned = new ArrayList<>();
        IntStream.range(0, servers).forEach(i -> assigned.addAll(plan.groups(i)));
        assertThat(assigned).hasSize(groups).doesNotHaveDuplicates();
        if (groups >= servers * 6) {
            assertThat(IntStream.range(0, servers))
                    .allMatch(i -> !plan.groups(i).isEmpty());
        }
    }

    /** Replays four servers at half of their capacity with requests of 1 to 3 pieces that arrive every 55 ms. */
    @Test
    void aPoolAtHalfLoadStartsPiecesWithinAFractionOfACall() {
        double[] busyUntil = {40, 110, 180, 250};
        Deque<int[]> waiting = new ArrayDeque<>();
        List<Double> waits = new ArrayList<>();
        for (int now = 0; now < 60_000; now++) {
            if (now % 55 == 0) {
                waiting.add(new int[] {now, 1 + now / 55 % 3});
            }
            List<StageServerLoad> loads = new ArrayList<>();
            for (int i = 0; i < busyUntil.length; i++) {
                loads.add(server("s" + i, "z1", Math.max(0, busyUntil[i] - now)));
            }
            List<int[]> queued = List.copyOf(waiting);
            StageCallPlan plan = StageCallPlan.of(
                    queued.stream().map(entry -> group(entry[1])).toList(), loads, SPEC);
            for (int i = 0; i < busyUntil.length; i++) {
                if (busyUntil[i] <= now && !plan.groups(i).isEmpty()) {
                    int pieces = 0;
                    for (int index : plan.groups(i)) {
                        pieces += queued.get(index)[1];
                        waits.add((double) now - queued.get(index)[0]);
                        waiting.remove(queued.get(index));
                    }
                    busyUntil[i] = now + SPEC.expectedCallMillis(pieces);
                }
            }
        }
        double callMillis = SPEC.expectedCallMillis(2);
        assertThat(waits.stream().mapToDouble(Double::doubleValue).average().orElseThrow())
                .isLessThan(callMillis / busyUntil.length);
        assertThat(waits).allMatch(wait -> wait < callMillis);
    }
}
