package io.masticfold.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.masticfold.core.attempt.Incarnation;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

/** Guards against starved entries and against shares that exceed the rate in total. */
@Tag("property")
class ShareAllocatorProperties {

    @Property(seed = "11")
    void sharesAddUpToTheLimit(
            @ForAll @DoubleRange(min = 0.1, max = 1e6) double limit,
            @ForAll @Size(min = 1, max = 50) List<@DoubleRange(min = 0, max = 1e5) Double> demands) {
        Map<Incarnation, Double> shares = ShareAllocator.divide(limit, byEntry(demands));

        assertThat(shares.values().stream().mapToDouble(Double::doubleValue).sum())
                .isCloseTo(limit, within(limit * 1e-9));
    }

    @Property(seed = "12")
    void noEntryIsBelowItsDemandWhileAnotherExceedsItsOwn(
            @ForAll @DoubleRange(min = 0.1, max = 1e5) double limit,
            @ForAll @Size(min = 2, max = 20) List<@DoubleRange(min = 0, max = 1e4) Double> demands) {
        Map<Incarnation, Double> demand = byEntry(demands);
        Map<Incarnation, Double> shares = ShareAllocator.divide(limit, demand);
        double tolerance = limit * 1e-9;

        boolean anyBelowDemand =
                demand.keySet().stream().anyMatch(e -> value(shares, e) < value(demand, e) - tolerance);
        boolean anyAboveDemand =
                demand.keySet().stream().anyMatch(e -> value(shares, e) > value(demand, e) + tolerance);

        assertThat(anyBelowDemand && anyAboveDemand).isFalse();
    }

    private static double value(Map<Incarnation, Double> map, Incarnation entry) {
        return map.getOrDefault(entry, 0.0);
    }

    private static Map<Incarnation, Double> byEntry(List<Double> demands) {
        return IntStream.range(0, demands.size())
                .boxed()
                .collect(Collectors.toMap(i -> new Incarnation(1, i), demands::get));
    }
}
